package org.poplarloom.port.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One connection of an {@link HttpExchanger}.
 * <p>
 * Bytes that no exchange is waiting for close the connection. This class is not
 * thread-safe; the event loop guards it.
 */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> {

	/** Closed this long before the endpoint would, so that requests do not cross. */
	private static final long KEEP_ALIVE_MARGIN_MILLIS = 700;

	private static final int FIRST_FINAL_STATUS = 200;

	private final HttpExchanger exchanger;

	private final String address;

	private ChannelHandlerContext context;

	private Running running;

	private boolean keepAlive;

	private boolean answerBegun;

	private boolean skipping;

	private boolean broken;

	private long usableUntilNanos;

	private long keepAliveMillis = HttpExchanger.IDLE_MILLIS;

	HttpConnection(HttpExchanger exchanger, String address) {
		this.exchanger = exchanger;
		this.address = address;
	}

	String address() {
		return this.address;
	}

	boolean isUsable(long nowNanos) {
		return this.context.channel().isActive() && !this.broken && nowNanos < this.usableUntilNanos;
	}

	HttpExchanger.Exchange prepare(FullHttpRequest request, ExchangeListener listener) {
		this.running = new Running(request, listener);
		return this.running;
	}

	HttpExchanger.Exchange start(FullHttpRequest request, ExchangeListener listener) {
		Running next = new Running(request, listener);
		this.running = next;
		write(next);
		return next;
	}

	private void write(Running next) {
		next.sent = true;
		this.answerBegun = false;
		this.keepAlive = false;
		this.context.writeAndFlush(next.request).addListener((result) -> {
			if (!result.isSuccess()) {
				fail("request could not be written", result.cause());
			}
		});
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.context = ctx;
		if (this.running == null) {
			ctx.close();
			return;
		}
		write(this.running);
	}

	void connectFailed(Throwable cause) {
		Running failed = this.running;
		this.running = null;
		if (failed != null) {
			failed.request.release();
			failed.listener
				.fail(new HttpExchanger.ExchangeException("cannot connect to " + this.address, false, cause));
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
		if (this.running == null) {
			this.broken = true;
			ctx.close();
			return;
		}
		if (message.decoderResult().isFailure()) {
			fail("answer is not HTTP", message.decoderResult().cause());
			return;
		}
		if (message instanceof HttpResponse head) {
			if (head.status().code() < FIRST_FINAL_STATUS) {
				return;
			}
			this.answerBegun = true;
			this.keepAlive = HttpUtil.isKeepAlive(head) && isFramed(head);
			this.keepAliveMillis = keepAliveMillis(head);
			this.skipping = !this.running.listener.head(head);
			this.broken |= this.skipping;
		}
		if (message instanceof HttpContent content && this.running != null && this.answerBegun) {
			if (this.skipping) {
				return;
			}
			if (content.content().isReadable()) {
				this.running.listener.content(content.content());
			}
			if (content instanceof LastHttpContent && this.running != null) {
				finish();
			}
		}
	}

	private static boolean isFramed(HttpResponse head) {
		return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
	}

	private static long keepAliveMillis(HttpResponse head) {
		String header = head.headers().get("Keep-Alive");
		int start = (header != null) ? header.indexOf("timeout=") : -1;
		if (start < 0) {
			return HttpExchanger.IDLE_MILLIS;
		}
		String digits = header.substring(start + "timeout=".length()).split("[^0-9]", 2)[0];
		if (digits.isEmpty() || digits.length() > 6) {
			return HttpExchanger.IDLE_MILLIS;
		}
		long millis = TimeUnit.SECONDS.toMillis(Long.parseLong(digits));
		return Math.max(0, millis - KEEP_ALIVE_MARGIN_MILLIS);
	}

	private void finish() {
		Running finished = this.running;
		this.running = null;
		if (this.keepAlive && this.context.channel().isActive() && !this.broken) {
			this.context.channel().config().setAutoRead(true);
			this.usableUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.keepAliveMillis);
			this.exchanger.keep(this);
		}
		else {
			this.context.close();
		}
		finished.listener.end();
	}

	private void fail(String message, Throwable cause) {
		Running failed = this.running;
		this.running = null;
		this.broken = true;
		if (this.context != null) {
			this.context.close();
		}
		if (failed != null) {
			failed.listener
				.fail(new HttpExchanger.ExchangeException(message + " (" + this.address + ")", failed.sent, cause));
		}
	}

	void close() {
		this.broken = true;
		this.context.close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.exchanger.forget(this);
		fail("connection was closed", null);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		fail("connection was broken", cause);
	}

	/**
	 * The exchange that uses the connection.
	 */
	private final class Running implements HttpExchanger.Exchange {

		private final FullHttpRequest request;

		private final ExchangeListener listener;

		private boolean sent;

		Running(FullHttpRequest request, ExchangeListener listener) {
			this.request = request;
			this.listener = listener;
		}

		@Override
		public void cancel() {
			if (HttpConnection.this.running != this) {
				return;
			}
			HttpConnection.this.running = null;
			HttpConnection.this.broken = true;
			if (HttpConnection.this.context != null) {
				HttpConnection.this.context.close();
			}
			else {
				this.request.release();
			}
		}

		@Override
		public void read(boolean isReading) {
			if (HttpConnection.this.running == this && HttpConnection.this.context != null) {
				HttpConnection.this.context.channel().config().setAutoRead(isReading);
			}
		}

	}

}
