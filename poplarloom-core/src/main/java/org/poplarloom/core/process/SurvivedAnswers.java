package org.poplarloom.core.process;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * When the last answer that survived its beginning began, for each possible cause of a
 * crash in recent requests: their fingerprints and the parts of their prompts.
 * <p>
 * The least recently used causes are forgotten first. This class is thread-safe.
 */
public final class SurvivedAnswers {

	private static final int MAX_CAUSES = 20_000;

	private static final float LOAD_FACTOR = 0.75f;

	private final Map<String, Long> beginMillis = new LinkedHashMap<>(16, LOAD_FACTOR, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_CAUSES;
		}

	};

	/**
	 * Records an answer that survived.
	 * @param causes the fingerprint of the request and the parts of its prompt
	 * @param answerBeginMillis when the answer began, in milliseconds since the epoch
	 */
	public synchronized void record(Collection<String> causes, long answerBeginMillis) {
		causes.forEach((cause) -> this.beginMillis.merge(cause, answerBeginMillis, Math::max));
	}

	/**
	 * Returns when the last answer with a possible cause that survived began.
	 * @param cause the cause
	 * @return the time in milliseconds since the epoch, empty if none is known
	 */
	public synchronized OptionalLong lastBeginMillis(String cause) {
		Long last = this.beginMillis.get(cause);
		return (last != null) ? OptionalLong.of(last) : OptionalLong.empty();
	}

}
