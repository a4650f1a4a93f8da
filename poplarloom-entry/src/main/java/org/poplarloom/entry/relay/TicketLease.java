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
 * The memory that helpers set aside for one prompt, all of them or none.
 * <p>
 * The memory is held for a short time only and prolonged while the attempt runs, so that
 * nothing stays behind if this instance or an order is lost. This class is not
 * thread-safe; the event loop guards it.
 */
final class TicketLease {

	private static final Logger logger = LoggerFactory.getLogger(TicketLease.class);

	/** Memory that nobody uses any more must be free after 4 s. */
	private static final long LEASE_MILLIS = 3_500;

	/** Leaves room for one renewal that is lost. */
	private static final long RENEWAL_MILLIS = 1_400;

	private static final long ORDER_TIMEOUT_MILLIS = 500;

	private final String ticket;

	private final List<AttemptPlace.Part> helpers;

	private final EventLoop loop;

	private final HttpExchanger exchanger;

	private final EndpointProtocol protocol;

	private ScheduledFuture<?> renewal;

	private int missing;

	private boolean ended;

	TicketLease(String ticket, List<AttemptPlace.Part> helpers, RelayService service) {
		this.ticket = ticket;
		this.helpers = helpers;
		this.loop = service.loop();
		this.exchanger = service.exchanger();
		this.protocol = service.protocol();
	}

	/**
	 * Sets the memory aside.
	 * @param done takes whether all helpers have done so; it is called once
	 */
	void reserve(Consumer<Boolean> done) {
		this.missing = this.helpers.size();
		Consumer<Boolean> counted = new Consumer<>() {

			private boolean isDone;

			@Override
			public void accept(Boolean isReserved) {
				TicketLease.this.missing--;
				if (!this.isDone && (!isReserved || TicketLease.this.missing == 0)) {
					this.isDone = true;
					done.accept(isReserved);
				}
			}

		};
		this.helpers.forEach((helper) -> order(helper, reservation(helper), counted));
		this.renewal = this.loop.scheduleWithFixedDelay(this::renew, RENEWAL_MILLIS, RENEWAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private FullHttpRequest reservation(AttemptPlace.Part helper) {
		return this.protocol.writeReservation(helper.address(), this.ticket, helper.kvTokens(), LEASE_MILLIS);
	}

	private void renew() {
		this.helpers.forEach((helper) -> order(helper, reservation(helper), TicketLease::ignore));
	}

	private static void ignore(Boolean isDone) {
		// A lost renewal is made good by the next one.
	}

	/**
	 * Gives the memory back.
	 */
	void release() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		if (this.renewal != null) {
			this.renewal.cancel(false);
		}
		this.helpers.forEach((helper) -> order(helper, this.protocol.writeRelease(helper.address(), this.ticket),
				TicketLease::ignore));
	}

	private void order(AttemptPlace.Part helper, FullHttpRequest order, Consumer<Boolean> done) {
		Order listener = new Order(helper, done);
		HttpExchanger.Exchange exchange = this.exchanger.send(helper.address(), order, listener);
		listener.timeout = this.loop.schedule(() -> {
			exchange.cancel();
			listener.finish(false, "no answer");
		}, ORDER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * One order to one helper.
	 */
	private final class Order implements ExchangeListener {

		private final AttemptPlace.Part helper;

		private final Consumer<Boolean> done;

		private ScheduledFuture<?> timeout;

		private HttpResponseStatus status;

		private boolean finished;

		Order(AttemptPlace.Part helper, Consumer<Boolean> done) {
			this.helper = helper;
			this.done = done;
		}

		@Override
		public boolean head(HttpResponse head) {
			this.status = head.status();
			return true;
		}

		@Override
		public void content(ByteBuf content) {
			// The status says all that matters.
		}

		@Override
		public void end() {
			finish(this.status.equals(HttpResponseStatus.OK), this.status.toString());
		}

		@Override
		public void fail(HttpExchanger.ExchangeException failure) {
			finish(false, failure.getMessage());
		}

		void finish(boolean isDone, String detail) {
			if (this.finished) {
				return;
			}
			this.finished = true;
			if (this.timeout != null) {
				this.timeout.cancel(false);
			}
			if (!isDone) {
				logger.info("ticket={} event=order_failed endpoint={} tokens={} cause=\"{}\"", TicketLease.this.ticket,
						this.helper.endpoint(), this.helper.kvTokens(), detail);
			}
			this.done.accept(isDone);
		}

	}

}
