package org.poplarloom.core.process;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * When the last answer that survived began, for each part of recent prompts.
 * <p>
 * The least recently used parts are forgotten first. This class is thread-safe.
 */
public final class PartSurvivals {

	private static final int MAX_PARTS = 20_000;

	private static final float LOAD_FACTOR = 0.75f;

	private final Map<String, Long> beginMillis = new LinkedHashMap<>(16, LOAD_FACTOR, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_PARTS;
		}

	};

	/**
	 * Records an answer that survived.
	 * @param parts the parts of the request's prompt
	 * @param answerBeginMillis when the answer began, in milliseconds since the epoch
	 */
	public synchronized void record(Collection<String> parts, long answerBeginMillis) {
		parts.forEach((part) -> this.beginMillis.merge(part, answerBeginMillis, Math::max));
	}

	/**
	 * Returns when the last answer on a part that survived began.
	 * @param part the part
	 * @return the time in milliseconds since the epoch, empty if none is known
	 */
	public synchronized OptionalLong lastBeginMillis(String part) {
		Long last = this.beginMillis.get(part);
		return (last != null) ? OptionalLong.of(last) : OptionalLong.empty();
	}

}
