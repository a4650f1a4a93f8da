package org.poplarloom.entry.process;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drains an instance that relays requests before its process ends.
 * <p>
 * New requests are admitted during the first third of the grace time; those that no
 * endpoint has received by then are refused. An idle instance continues for at least 3 s,
 * unless the grace time is shorter.
 * <p>
 * A step that fails is logged, and the drain continues: the process ends with its
 * shutdown hook, whatever is in progress. This class is immutable and thread-safe; the
 * instance is used only on its event loop.
 */
final class GracefulStop implements Runnable {

	private static final Logger logger = LoggerFactory.getLogger(GracefulStop.class);

	/**
	 * The load balancer checks readiness once a second and takes an instance out after
	 * two failed checks.
	 */
	private static final long MIN_DRAIN_MILLIS = 3_000;

	/**
	 * Fraction of the grace time in which new requests are still admitted; the rest is
	 * for their answers.
	 */
	private static final double ADMISSION_RATIO = 0.33;

	/** Part of the grace time that is reserved for the exit of the process. */
	private static final long EXIT_RESERVE_MILLIS = 600;

	/** Part of the exit reserve in which the last answers are written. */
	private static final long LAST_ANSWERS_MILLIS = 200;

	private static final long DRAIN_POLL_MILLIS = 100;

	private static final long LAST_ANSWERS_POLL_MILLIS = 10;

	private final EventLoop loop;

	private final Drainable instance;

	private final long graceMillis;

	/**
	 * Creates a stop, which does nothing until it is run.
	 * @param loop the event loop
	 * @param instance the instance
	 * @param graceMillis the time after which the process is killed, in milliseconds
	 */
	GracefulStop(EventLoop loop, Drainable instance, long graceMillis) {
		this.loop = loop;
		this.instance = instance;
		this.graceMillis = graceMillis;
	}

	/**
	 * Drains the instance; returns when all requests in progress have ended or the grace
	 * time is nearly over.
	 */
	@Override
	public void run() {
		long startNanos = System.nanoTime();
		onLoop("count", () -> logger.info("event=stopping busy={}", this.instance.requestsInProgress()));
		onLoop("disable_keep_alive", this.instance::disableKeepAlive);
		onLoop("announce", this.instance::announceStop);
		boolean isAdmitting = true;
		boolean isInterrupted = false;
		long elapsedMillis = 0;
		while (!isInterrupted && !isStopDue(elapsedMillis)) {
			if (isAdmitting && elapsedMillis >= ADMISSION_RATIO * this.graceMillis) {
				isAdmitting = false;
				onLoop("stop_admitting", this.instance::stopAdmitting);
			}
			isInterrupted = !sleep(DRAIN_POLL_MILLIS);
			elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
		}
		endRequests();
	}

	private boolean isStopDue(long elapsedMillis) {
		return this.loop.isShuttingDown() || elapsedMillis >= this.graceMillis - EXIT_RESERVE_MILLIS
				|| (elapsedMillis >= MIN_DRAIN_MILLIS && isTrueOnLoop("check_idle", this::stopAdmittingIfIdle));
	}

	// In one step, so that no request is admitted between the check and the end.
	private boolean stopAdmittingIfIdle() {
		boolean isIdle = this.instance.requestsInProgress() == 0 && this.instance.forwardedRequestsInProgress() == 0;
		if (isIdle) {
			this.instance.stopAdmitting();
		}
		return isIdle;
	}

	private void endRequests() {
		onLoop("end_requests", this.instance::endRequests);
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_ANSWERS_MILLIS);
		boolean isWritten = false;
		while (!isWritten && System.nanoTime() < endNanos && !this.loop.isShuttingDown()) {
			isWritten = isTrueOnLoop("check_written", () -> this.instance.requestsInProgress() == 0)
					|| !sleep(LAST_ANSWERS_POLL_MILLIS);
		}
	}

	private void onLoop(String step, Runnable task) {
		isTrueOnLoop(step, () -> {
			task.run();
			return true;
		});
	}

	// The event loop rejects tasks when it has ended.
	private boolean isTrueOnLoop(String step, BooleanSupplier task) {
		try {
			return this.loop.submit(task::getAsBoolean).syncUninterruptibly().getNow();
		}
		catch (RuntimeException | Error ex) {
			logger.error("event=stop_step_failed step={}", step, ex);
			return false;
		}
	}

	private static boolean sleep(long millis) {
		try {
			Thread.sleep(millis);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * An instance with requests in progress. Implementations need not be thread-safe; the
	 * event loop guards them.
	 */
	interface Drainable {

		/**
		 * Returns the number of callers' requests in progress, including those whose
		 * response is not written completely.
		 * @return the number, 0 or more
		 */
		long requestsInProgress();

		/**
		 * Returns the number of requests in progress that other instances have forwarded.
		 * @return the number, 0 or more
		 */
		long forwardedRequestsInProgress();

		/**
		 * Closes each caller's connection after its current answer.
		 */
		void disableKeepAlive();

		/**
		 * Tells the other instances that this one is about to stop.
		 */
		void announceStop();

		/**
		 * Refuses new requests and those that no endpoint has received.
		 */
		void stopAdmitting();

		/**
		 * Ends all requests in progress with an answer, except that a stream is broken
		 * off.
		 */
		void endRequests();

	}

}
