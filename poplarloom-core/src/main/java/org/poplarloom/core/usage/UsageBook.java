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
 * Counts what was used, by whom and where, in cumulative totals.
 * <p>
 * Totals of a source and a key only grow, so that a line published twice counts once.
 * This class is thread-safe; one lock guards its tables.
 */
public final class UsageBook {

	private final Map<Account, Totals> totals = new HashMap<>();

	private final Map<Account, Totals> published = new HashMap<>();

	/**
	 * Adds what one request used.
	 * @param source who counts
	 * @param key what the request is charged to
	 * @param used the amounts
	 */
	public synchronized void add(String source, Key key, Totals used) {
		this.totals.merge(new Account(source, key), used, Totals::plus);
	}

	/**
	 * Takes over a total that a source reported.
	 * @param line the total; a lower one than before is ignored
	 */
	public synchronized void report(Line line) {
		this.totals.merge(new Account(line.source(), line.key()), line.totals(), Totals::max);
	}

	/**
	 * Returns the lines that have changed since they were last marked as published.
	 * @return the lines in no particular order
	 */
	public synchronized List<Line> unpublished() {
		List<Line> lines = new ArrayList<>();
		this.totals.forEach((account, total) -> {
			if (!total.equals(this.published.get(account))) {
				lines.add(new Line(account.source(), account.key(), total));
			}
		});
		return lines;
	}

	/**
	 * Marks lines as published.
	 * @param lines the lines as they were published
	 */
	public synchronized void markPublished(List<Line> lines) {
		lines.forEach((line) -> this.published.put(new Account(line.source(), line.key()), line.totals()));
	}

	/**
	 * Forgets published lines of old periods.
	 * @param beforeMillis periods that started earlier are forgotten, in milliseconds
	 * since the epoch
	 */
	public synchronized void forget(long beforeMillis) {
		this.published.keySet().removeIf((account) -> {
			boolean isOld = account.key().periodMillis() < beforeMillis
					&& this.published.get(account).equals(this.totals.get(account));
			if (isOld) {
				this.totals.remove(account);
			}
			return isOld;
		});
	}

	/**
	 * A key as one source counts it.
	 */
	private record Account(String source, Key key) {
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

		/** Marks plain services, which do not report what they have run. */
		public static final String SERVICE_PREFIX = "service:";

		private static final String SEPARATOR = "|";

		private static final int PARTS = 4;

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
		 * Reads a key back from the form that endpoints are given.
		 * @param account the text form without the endpoint
		 * @param endpoint the endpoint
		 * @return the key
		 * @throws PoplarloomException if the text is not of that form
		 */
		public static Key parse(String account, EndpointId endpoint) {
			String[] parts = account.split("\\|", PARTS);
			try {
				return new Key(Long.parseLong(parts[0]), parts[1], TeamId.of(parts[2]), parts[3], endpoint);
			}
			catch (NumberFormatException | ArrayIndexOutOfBoundsException ex) {
				throw new PoplarloomException(ErrorCode.INVALID_DOCUMENT, "not an account: '" + account + "'");
			}
		}

		/**
		 * Returns the form that endpoints are given.
		 * @return the text form without the endpoint
		 */
		public String account() {
			return this.periodMillis + SEPARATOR + this.owner + SEPARATOR + this.team + SEPARATOR + this.model;
		}

		/**
		 * Says whether the endpoint reports what it has run.
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
	 * Amounts used.
	 *
	 * @param requests the number of requests
	 * @param promptTokens the prompt tokens
	 * @param answerTokens the answer tokens
	 */
	public record Totals(long requests, long promptTokens, long answerTokens) {

		/** Nothing used. */
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
	 * One line of a book.
	 *
	 * @param source who counts: an instance or an endpoint, each with its start
	 * @param key what the amounts are charged to
	 * @param totals the cumulative amounts
	 */
	public record Line(String source, Key key, Totals totals) {
	}

}
