package org.poplarloom.core.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.TeamId;

/**
 * A usage ledger: cumulative totals of what was used, by key and by the source that
 * counted it.
 * <p>
 * Totals of a source and a key never decrease, so that a line that is published twice
 * counts once. This class is thread-safe; one lock guards its tables.
 */
public final class UsageLedger {

	private final Map<SourceKey, Totals> totals = new HashMap<>();

	private final Map<SourceKey, Totals> published = new HashMap<>();

	/**
	 * Adds what one request used.
	 * @param source the instance or endpoint that counts
	 * @param key what the request is charged to
	 * @param amounts the amounts
	 */
	public synchronized void add(String source, Key key, Totals amounts) {
		this.totals.merge(new SourceKey(source, key), amounts, Totals::plus);
	}

	/**
	 * Records a total that a source reported.
	 * @param line the total; of each amount, the maximum of the earlier and the reported
	 * total is kept
	 */
	public synchronized void mergeTotal(Line line) {
		this.totals.merge(new SourceKey(line.source(), line.key()), line.totals(), Totals::max);
	}

	/**
	 * Returns the lines that have changed since they were last marked as published.
	 * @return the lines in no particular order
	 */
	public synchronized List<Line> unpublished() {
		List<Line> lines = new ArrayList<>();
		this.totals.forEach((sourceKey, total) -> {
			if (!total.equals(this.published.get(sourceKey))) {
				lines.add(new Line(sourceKey.source(), sourceKey.key(), total));
			}
		});
		return lines;
	}

	/**
	 * Marks lines as published.
	 * @param lines the lines as they were published
	 */
	public synchronized void markPublished(List<Line> lines) {
		lines.forEach((line) -> this.published.put(new SourceKey(line.source(), line.key()), line.totals()));
	}

	/**
	 * Removes published lines of old periods.
	 * @param beforeMillis lines of periods that started earlier are removed, in
	 * milliseconds since the epoch
	 */
	public synchronized void prune(long beforeMillis) {
		this.published.keySet().removeIf((sourceKey) -> {
			boolean isRemoved = sourceKey.key().periodMillis() < beforeMillis
					&& this.published.get(sourceKey).equals(this.totals.get(sourceKey));
			if (isRemoved) {
				this.totals.remove(sourceKey);
			}
			return isRemoved;
		});
	}

	/**
	 * A key together with the source that counts it.
	 */
	private record SourceKey(String source, Key key) {
	}

	/**
	 * What an amount is charged to.
	 *
	 * @param periodMillis the start of the accounting period in milliseconds since the
	 * epoch
	 * @param owner the owner who pays
	 * @param team the team
	 * @param model the model or service
	 * @param endpoint the endpoint
	 */
	public record Key(long periodMillis, String owner, TeamId team, String model,
			EndpointId endpoint) implements Comparable<Key> {

		/** The length of an accounting period in milliseconds. */
		public static final long PERIOD_MILLIS = 3_600_000;

		/** Prefix of the model names of plain services, which do not report usage. */
		public static final String SERVICE_PREFIX = "service:";

		private static final String SEPARATOR = "|";

		private static final int ACCOUNT_FIELDS = 4;

		/**
		 * Returns the key for a time.
		 * @param nowMillis the time in milliseconds since the epoch
		 * @param owner the owner who pays
		 * @param team the team
		 * @param model the model or service
		 * @param endpoint the endpoint
		 * @return the key of the period that the time lies in
		 */
		public static Key of(long nowMillis, String owner, TeamId team, String model, EndpointId endpoint) {
			return new Key(nowMillis - nowMillis % PERIOD_MILLIS, owner, team, model, endpoint);
		}

		/**
		 * Parses the text form that endpoints are given.
		 * @param account the text form without the endpoint
		 * @param endpoint the endpoint
		 * @return the key
		 * @throws PoplarloomException if the text does not have that form
		 */
		public static Key parse(String account, EndpointId endpoint) {
			String[] fields = account.split("\\|", ACCOUNT_FIELDS);
			try {
				return new Key(Long.parseLong(fields[0]), fields[1], TeamId.of(fields[2]), fields[3], endpoint);
			}
			catch (NumberFormatException | ArrayIndexOutOfBoundsException ex) {
				throw new PoplarloomException(ErrorCode.INVALID_DOCUMENT,
						"account must be period|owner|team|model, but was '" + account + "'");
			}
		}

		/**
		 * Returns the text form that endpoints are given.
		 * @return the text form without the endpoint
		 */
		public String account() {
			return this.periodMillis + SEPARATOR + this.owner + SEPARATOR + this.team + SEPARATOR + this.model;
		}

		/**
		 * Returns whether the endpoint reports its usage.
		 * @return false for plain services
		 */
		public boolean isReported() {
			return !this.model.startsWith(SERVICE_PREFIX);
		}

		@Override
		public int compareTo(Key other) {
			int byPeriod = Long.compare(this.periodMillis, other.periodMillis);
			int byAccount = (byPeriod != 0) ? byPeriod : account().compareTo(other.account());
			return (byAccount != 0) ? byAccount : this.endpoint.compareTo(other.endpoint);
		}

	}

	/**
	 * Amounts of usage.
	 *
	 * @param requests the number of requests
	 * @param promptTokens the prompt tokens
	 * @param answerTokens the answer tokens
	 */
	public record Totals(long requests, long promptTokens, long answerTokens) {

		/** Totals of no usage. */
		public static final Totals ZERO = new Totals(0, 0, 0);

		/**
		 * Returns the sum of two amounts.
		 * @param other the other amounts
		 * @return the sum
		 */
		public Totals plus(Totals other) {
			return new Totals(this.requests + other.requests, this.promptTokens + other.promptTokens,
					this.answerTokens + other.answerTokens);
		}

		/**
		 * Returns the higher of two cumulative totals.
		 * @param other the other totals
		 * @return the maximum of each amount
		 */
		public Totals max(Totals other) {
			return new Totals(Math.max(this.requests, other.requests), Math.max(this.promptTokens, other.promptTokens),
					Math.max(this.answerTokens, other.answerTokens));
		}

		boolean isLowerThan(Totals other) {
			return !max(other).equals(this);
		}

	}

	/**
	 * One line of a usage ledger.
	 *
	 * @param source the instance or endpoint that counts, with an id of its incarnation
	 * @param key what the amounts are charged to
	 * @param totals the cumulative amounts
	 */
	public record Line(String source, Key key, Totals totals) {
	}

}
