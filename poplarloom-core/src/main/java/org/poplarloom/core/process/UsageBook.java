package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.TeamId;

/**
 * Counts what was used, by whom and where, in cumulative totals of one process.
 * <p>
 * Totals only grow, so that a line published twice counts once: the highest total of a
 * writer and a key is the truth. This class is thread-safe; one lock guards its table.
 */
public final class UsageBook {

	private final Map<Key, Totals> totals = new TreeMap<>();

	private final long periodMillis;

	private UsageBook(long periodMillis) {
		this.periodMillis = periodMillis;
	}

	/**
	 * Returns an empty book.
	 * @param periodMillis the length of an accounting period in milliseconds
	 * @return the book
	 */
	public static UsageBook of(long periodMillis) {
		return new UsageBook(periodMillis);
	}

	/**
	 * Adds what one request used.
	 * @param owner the owner who pays
	 * @param team the team
	 * @param model the model or service
	 * @param endpoint the endpoint
	 * @param used the amounts
	 * @param nowMillis the time in milliseconds since the epoch
	 */
	public synchronized void add(String owner, TeamId team, String model, EndpointId endpoint, Totals used,
			long nowMillis) {
		long period = nowMillis - nowMillis % this.periodMillis;
		this.totals.merge(new Key(period, owner, team, model, endpoint), used, Totals::plus);
	}

	/**
	 * Returns the lines of the book.
	 * @return the lines in the order of their keys
	 */
	public synchronized List<Line> lines() {
		List<Line> lines = new ArrayList<>();
		this.totals.forEach((key, total) -> lines.add(new Line(key, total)));
		return lines;
	}

	/**
	 * Forgets lines of old periods.
	 * @param beforeMillis the end of the last period to forget, in milliseconds since the
	 * epoch
	 */
	public synchronized void forget(long beforeMillis) {
		this.totals.keySet().removeIf((key) -> key.periodMillis() + this.periodMillis <= beforeMillis);
	}

	/**
	 * What a line is about.
	 *
	 * @param periodMillis the start of the period in milliseconds since the epoch
	 * @param owner the owner who pays
	 * @param team the team
	 * @param model the model or service
	 * @param endpoint the endpoint
	 */
	public record Key(long periodMillis, String owner, TeamId team, String model,
			EndpointId endpoint) implements Comparable<Key> {

		@Override
		public int compareTo(Key other) {
			int byPeriod = Long.compare(this.periodMillis, other.periodMillis);
			return (byPeriod != 0) ? byPeriod : text().compareTo(other.text());
		}

		private String text() {
			return this.owner + "|" + this.team + "|" + this.model + "|" + this.endpoint;
		}

	}

	/**
	 * Amounts used.
	 *
	 * @param requests the number of requests
	 * @param promptTokens the prompt tokens
	 * @param answerTokens the answer tokens
	 * @param lostTokens tokens of failed attempts, which are not charged
	 */
	public record Totals(long requests, long promptTokens, long answerTokens, long lostTokens) {

		/**
		 * Returns the sum of two amounts.
		 * @param other the other amounts
		 * @return the sum
		 */
		public Totals plus(Totals other) {
			return new Totals(this.requests + other.requests, this.promptTokens + other.promptTokens,
					this.answerTokens + other.answerTokens, this.lostTokens + other.lostTokens);
		}

	}

	/**
	 * One line of a book.
	 *
	 * @param key what the line is about
	 * @param totals the amounts
	 */
	public record Line(Key key, Totals totals) {
	}

}
