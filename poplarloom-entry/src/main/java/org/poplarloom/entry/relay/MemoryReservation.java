package org.poplarloom.entry.relay;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.port.http.ExchangeListener;
import org.poplarloom.port.http.HttpExchanger;
import org.poplarloom.port.relay.EndpointProtocol;

/**
 * KV cache memory that the helpers of one prompt reserve. The attempt can start only if
 * all of them have reserved it.
 * <p>
 * The memory is leased for a short time and the lease is renewed while the attempt runs,
 * so that it is freed even if this instance crashes or a command is lost. This class is
 * not thread-safe; the event loop guards it.
 */
final class MemoryReservation {

	private static final Logger logger = LoggerFactory.getLogger(MemoryReservation.class);

	/** Memory that is no longer used must be free again within 4 s. */
	private static final long LEASE_MILLIS = 3_500;

	/** Lets the lease survive the loss of one renewal. */
	private static final long RENEWAL_INTERVAL_MILLIS = 1_400;

	private static final long COMMAND_TIMEOUT_MILLIS = 500;

	private final String reservationId;

	private final List<AttemptEndpoints.AssignedEndpoint> helpers;

	private final EventLoop loop;

	private final HttpExchanger exchanger;

	private final EndpointProtocol protocol;

	private ScheduledFuture<?> renewal;

	private int pendingReplies;

	private boolean released;

	MemoryReservation(String reservationId, List<AttemptEndpoints.AssignedEndpoint> helpers, RelayService service) {
		this.reservationId = reservationId;
		this.helpers = helpers;
		this.loop = service.loop();
		this.exchanger = service.exchanger();
		this.protocol = service.protocol();
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
		this.helpers.forEach((helper) -> sendCommand(helper, reservationRequest(helper), replyCounter));
		this.renewal = this.loop.scheduleWithFixedDelay(this::renew, RENEWAL_INTERVAL_MILLIS, RENEWAL_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private FullHttpRequest reservationRequest(AttemptEndpoints.AssignedEndpoint helper) {
		return this.protocol.writeReservation(helper.address(), this.reservationId, helper.kvTokens(), LEASE_MILLIS);
	}

	private void renew() {
		this.helpers
			.forEach((helper) -> sendCommand(helper, reservationRequest(helper), MemoryReservation::ignoreResult));
	}

	private static void ignoreResult(Boolean isSuccessful) {
		// The next renewal makes up for a lost one; a lost release ends with the lease.
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
				this.protocol.writeRelease(helper.address(), this.reservationId), MemoryReservation::ignoreResult));
	}

	private void sendCommand(AttemptEndpoints.AssignedEndpoint helper, FullHttpRequest command,
			Consumer<Boolean> onResult) {
		Command listener = new Command(helper, onResult);
		HttpExchanger.Exchange exchange = this.exchanger.send(helper.address(), command, listener);
		listener.timeout = this.loop.schedule(() -> {
			exchange.cancel();
			listener.finish(false, "no answer within " + COMMAND_TIMEOUT_MILLIS + " ms");
		}, COMMAND_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * A command that was sent to a helper, and its timeout.
	 */
	private final class Command implements ExchangeListener {

		private final AttemptEndpoints.AssignedEndpoint helper;

		private final Consumer<Boolean> onResult;

		private ScheduledFuture<?> timeout;

		private HttpResponseStatus status;

		private boolean finished;

		Command(AttemptEndpoints.AssignedEndpoint helper, Consumer<Boolean> onResult) {
			this.helper = helper;
			this.onResult = onResult;
		}

		@Override
		public boolean head(HttpResponse head) {
			this.status = head.status();
			return true;
		}

		@Override
		public void content(ByteBuf content) {
			// Only the status is used.
		}

		@Override
		public void end() {
			finish(this.status.equals(HttpResponseStatus.OK), this.status.toString());
		}

		@Override
		public void fail(HttpExchanger.ExchangeException failure) {
			finish(false, failure.getMessage());
		}

		void finish(boolean isSuccessful, String detail) {
			if (this.finished) {
				return;
			}
			this.finished = true;
			if (this.timeout != null) {
				this.timeout.cancel(false);
			}
			if (!isSuccessful) {
				logger.info("ticket={} event=order_failed endpoint={} tokens={} cause=\"{}\"",
						MemoryReservation.this.reservationId, this.helper.endpoint(), this.helper.kvTokens(), detail);
			}
			this.onResult.accept(isSuccessful);
		}

	}

}
