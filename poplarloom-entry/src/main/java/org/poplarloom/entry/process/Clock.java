package org.poplarloom.entry.process;

/**
 * The source of the time.
 * <p>
 * Implementations are thread-safe.
 */
public interface Clock {

	/** The system's clock. */
	Clock SYSTEM = System::currentTimeMillis;

	/**
	 * Returns the time.
	 * @return milliseconds since the epoch
	 */
	long nowMillis();

}
