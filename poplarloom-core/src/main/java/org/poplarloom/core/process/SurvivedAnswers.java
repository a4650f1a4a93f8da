package org.poplarloom.core.process;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * How often answers survived their beginning and when the last of them began, for each
 * possible cause of a crash in recent requests: their fingerprints and the parts of their
 * prompts.
 * <p>
 * The least recently used causes are forgotten first. This class is thread-safe.
 */
public final class SurvivedAnswers {

	/** Answers are counted for this time at least and for twice as long at most. */
	private static final long PERIOD_MILLIS = 300_000;

	private static final int MAX_CAUSES = 20_000;

	private static final float LOAD_FACTOR = 0.75f;

	private final Map<String, Answers> answersByCause = new LinkedHashMap<>(16, LOAD_FACTOR, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Answers> eldest) {
			return size() > MAX_CAUSES;
		}

	};

	/**
	 * Records an answer that survived.
	 * @param causes the fingerprint of the request and the parts of its prompt
	 * @param answerBeginMillis when the answer began, in milliseconds since the epoch
	 */
	public synchronized void record(Collection<String> causes, long answerBeginMillis) {
		causes.forEach(
				(cause) -> this.answersByCause.computeIfAbsent(cause, (key) -> new Answers()).add(answerBeginMillis));
	}

	/**
	 * Returns when the last answer with a possible cause that survived began.
	 * @param cause the cause
	 * @return the time in milliseconds since the epoch, empty if none is known
	 */
	public synchronized OptionalLong lastBeginMillis(String cause) {
		Answers answers = this.answersByCause.get(cause);
		return (answers != null) ? OptionalLong.of(answers.lastBeginMillis) : OptionalLong.empty();
	}

	/**
	 * Returns how many answers with a possible cause survived in the last five to ten
	 * minutes.
	 * @param cause the cause
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the number, 0 if none is known
	 */
	public synchronized long count(String cause, long nowMillis) {
		Answers answers = this.answersByCause.get(cause);
		return (answers != null) ? answers.count(nowMillis / PERIOD_MILLIS) : 0;
	}

	/**
	 * The answers with one cause. It is not thread-safe; the lock of the table guards it.
	 */
	private static final class Answers {

		private long lastBeginMillis = Long.MIN_VALUE;

		private long period = Long.MIN_VALUE;

		private long countOfPeriod;

		private long countOfPeriodBefore;

		void add(long beginMillis) {
			this.lastBeginMillis = Math.max(this.lastBeginMillis, beginMillis);
			advance(beginMillis / PERIOD_MILLIS);
			this.countOfPeriod++;
		}

		private void advance(long newPeriod) {
			if (newPeriod > this.period) {
				this.countOfPeriodBefore = (newPeriod - 1 == this.period) ? this.countOfPeriod : 0;
				this.countOfPeriod = 0;
				this.period = newPeriod;
			}
		}

		long count(long nowPeriod) {
			advance(nowPeriod);
			return this.countOfPeriod + this.countOfPeriodBefore;
		}

	}

}
