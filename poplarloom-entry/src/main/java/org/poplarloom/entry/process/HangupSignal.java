package org.poplarloom.entry.process;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * The hang-up signal (SIGHUP), which the platform sends when settings have changed.
 * <p>
 * It ends a Java process that does not handle it. This class has no state and is
 * thread-safe.
 */
public final class HangupSignal {

	private static final Logger logger = LoggerFactory.getLogger(HangupSignal.class);

	private HangupSignal() {
	}

	/**
	 * Runs a task whenever the signal arrives. If the signal cannot be handled on this
	 * system, a warning is logged.
	 * @param task the task
	 */
	public static void handle(Runnable task) {
		try {
			Signal.handle(new Signal("HUP"), (signal) -> task.run());
		}
		catch (IllegalArgumentException ex) {
			logger.warn("event=signal_not_handled signal=HUP cause=\"{}\"", ex.getMessage());
		}
	}

}
