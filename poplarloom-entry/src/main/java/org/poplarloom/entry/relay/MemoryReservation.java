package org.poplarloom.entry.relay;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * KV cache memory that the helpers of one prompt reserve. The attempt can start only if
 * all of them have reserved it.
 * <p>
 * The memory is leased for a short time and the lease is renewed while the answering
 * endpoint shows that it runs, so that it is freed even if this instance crashes, a
 * command is lost or the endpoint becomes silent. This class is not thread-safe; the
 * event loop guards it.
 */
final class MemoryReservation {

	private static final Logger logger = LoggerFactory.getLogger(MemoryReservation.class);

	/** Memory that is no longer used must be free again within 4 s. */
	private static final long LEASE_MILLIS = 3_500;

	/** Lets the lease survive the loss of one renewal. */
	private static final long RENEWAL_INTERVAL_MILLIS = 1_400;

	/**
	 * An endpoint that has sent nothing for longer is asked for its status before the
	 * lease is renewed. The sum of this time and the lease is below 4 s.
	 */
	private static final long MAX_SILENCE_MILLIS = 300;

	private final String reservationId;

	private final AttemptEndpoints endpoints;

	private final List<AttemptEndpoints.AssignedEndpoint> helpers;

	private final AttemptEndpoints.AssignedEndpoint answering;

	private final LongSupplier lastReceivedMillis;

	private final RelayService service;

	private ScheduledFuture<?> renewal;

	private int pendingReplies;

	private boolean released;

	/**
	 * Creates a reservation, which does nothing until {@link #reserve}.
	 * @param reservationId identifies it at the helpers
	 * @param endpoints the answering endpoint and the helpers, of which those with memory
	 * to reserve count
	 * @param lastReceivedMillis supplies when the answering endpoint last sent something,
	 * in milliseconds since the epoch
	 * @param service the relay
	 */
	MemoryReservation(String reservationId, AttemptEndpoints endpoints, LongSupplier lastReceivedMillis,
			RelayService service) {
		this.reservationId = reservationId;
		this.endpoints = endpoints;
		this.helpers = endpoints.reservingHelpers();
		this.answering = endpoints.answering();
		this.lastReceivedMillis = lastReceivedMillis;
		this.service = service;
	}

	/**
	 * Reserves the memory on all helpers.
	 * @param onResult receives true once all helpers have reserved it, or false at the
	 * first failure; it is called once
	 */
	void reserve(Consumer<Boolean> onResult) {
		this.pendingReplies = this.helpers.size();
		Consumer<Boolean> replyCounter = new Consumer<>() {

			private boolean isReported;

			@Override
			public void accept(Boolean isReserved) {
				MemoryReservation.this.pendingReplies--;
				if (!this.isReported && (!isReserved || MemoryReservation.this.pendingReplies == 0)) {
					this.isReported = true;
					onResult.accept(isReserved);
				}
			}

		};
		this.helpers.forEach((helper) -> EndpointCommand.sendOnNewConnection(this.service, helper, this.endpoints,
				reservationRequest(helper), (result) -> {
					logFailure(helper, result);
					replyCounter.accept(result.isOk());
				}));
		this.renewal = this.service.loop()
			.scheduleWithFixedDelay(this::renewWhileRunning, RENEWAL_INTERVAL_MILLIS, RENEWAL_INTERVAL_MILLIS,
					TimeUnit.MILLISECONDS);
	}

	private FullHttpRequest reservationRequest(AttemptEndpoints.AssignedEndpoint helper) {
		return this.service.protocol()
			.writeReservation(helper.address(), this.reservationId, helper.kvTokens(), LEASE_MILLIS);
	}

	private void renewWhileRunning() {
		if (this.service.nowMillis() - this.lastReceivedMillis.getAsLong() <= MAX_SILENCE_MILLIS) {
			renew();
			return;
		}
		EndpointCommand.checkRunning(this.service, this.endpoints, (result) -> {
			if (this.released) {
				return;
			}
			if (result.isAnswered()) {
				renew();
			}
			else {
				logger.info("ticket={} event=lease_not_renewed endpoint={} cause=\"{}\"", this.reservationId,
						this.answering.endpoint(), result.detail());
			}
		});
	}

	private void renew() {
		this.helpers.forEach((helper) -> sendCommand(helper, reservationRequest(helper)));
	}

	/**
	 * Releases the memory on all helpers; does nothing if it was released before.
	 */
	void release() {
		if (this.released) {
			return;
		}
		this.released = true;
		if (this.renewal != null) {
			this.renewal.cancel(false);
		}
		this.helpers.forEach((helper) -> sendCommand(helper,
				this.service.protocol().writeRelease(helper.address(), this.reservationId)));
	}

	// The next renewal makes up for a lost one; a lost release ends with the lease.
	private void sendCommand(AttemptEndpoints.AssignedEndpoint helper, FullHttpRequest command) {
		EndpointCommand.send(this.service, helper, this.endpoints, command, (result) -> logFailure(helper, result));
	}

	private void logFailure(AttemptEndpoints.AssignedEndpoint helper, EndpointCommand.Result result) {
		if (!result.isOk()) {
			logger.info("ticket={} event=order_failed endpoint={} tokens={} cause=\"{}\"", this.reservationId,
					helper.endpoint(), helper.kvTokens(), result.detail());
		}
	}

}
