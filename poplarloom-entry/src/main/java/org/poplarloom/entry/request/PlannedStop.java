package org.poplarloom.entry.request;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;

/**
 * The two stages of a planned stop, as requests see them.
 * <p>
 * At the end of admission new requests, and those that nothing has been sent for, are
 * refused as not executed; the others continue until the end of all requests. Neither
 * stage is taken back. This class is thread-safe.
 */
public final class PlannedStop {

	/**
	 * Short, since a new connection reaches another instance, which can serve the request
	 * at once.
	 */
	private static final long RETRY_AFTER_MILLIS = 50;

	private final Sinks.Empty<Void> admissionEnd = Sinks.empty();

	private final Sinks.Empty<Void> requestsEnd = Sinks.empty();

	private volatile boolean admitting = true;

	/**
	 * Refuses a new request if admission has ended.
	 * @throws PoplarloomException with code {@code shutting_down} if it has ended
	 */
	public void requireAdmitting() {
		if (!this.admitting) {
			throw refusal();
		}
	}

	/**
	 * Returns the refusal of a request that nothing has been sent for.
	 * @return the refusal, which says that the request was not executed
	 */
	public static PoplarloomException refusal() {
		return new PoplarloomException(ErrorCode.SHUTTING_DOWN, Executed.NO, "the instance is about to stop",
				RETRY_AFTER_MILLIS);
	}

	/**
	 * Ends admission; does nothing if it has ended.
	 */
	public void endAdmission() {
		this.admitting = false;
		this.admissionEnd.tryEmitEmpty();
	}

	/**
	 * Ends all requests in progress, since the process ends.
	 */
	public void endRequests() {
		endAdmission();
		this.requestsEnd.tryEmitEmpty();
	}

	/**
	 * Returns a signal for the end of admission.
	 * @return completes then, or at once if admission has ended
	 */
	public Mono<Void> admissionEnd() {
		return this.admissionEnd.asMono();
	}

	/**
	 * Returns a signal for the end of all requests in progress.
	 * @return completes then, or at once if they have been ended
	 */
	public Mono<Void> requestsEnd() {
		return this.requestsEnd.asMono();
	}

}
