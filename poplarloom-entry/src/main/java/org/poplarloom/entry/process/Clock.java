package org.poplarloom.entry.process;

/**
 * A source of the current time.
 * <p>
 * Implementations are thread-safe.
 */
public interface Clock {

	/** The system's clock, which jumps when it is set. */
	Clock SYSTEM = System::currentTimeMillis;

	/**
	 * Returns a clock that starts at the system's time and never jumps.
	 * @return the clock
	 */
	static Clock steady() {
		long startMillis = System.currentTimeMillis();
		long startNanos = System.nanoTime();
		return () -> startMillis + (System.nanoTime() - startNanos) / 1_000_000;
	}

	/**
	 * Returns the current time.
	 * @return milliseconds since the epoch
	 */
	long nowMillis();

}
