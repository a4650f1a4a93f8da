package org.poplarloom.port.http;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection of an {@link HttpExchanger}.
 * <p>
 * Data received while no exchange is in progress closes the connection, since it would
 * otherwise be taken for the response to the next request. This class is not thread-safe;
 * all calls come from one event loop.
 */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> {

	/**
	 * An idle connection expires this long before the endpoint closes it, so that no
	 * request is sent while the endpoint is closing the connection.
	 */
	private static final long KEEP_ALIVE_MARGIN_MILLIS = 700;

	private static final int MIN_FINAL_STATUS = 200;

	/** A server sends one or two of them; more are no sound protocol. */
	private static final int MAX_INTERIM_RESPONSES = 16;

	/** A response to another request is skipped up to this size. */
	private static final int MAX_SKIPPED_BYTES = 1024 * 1024;

	/** Late answers to earlier requests of the connection are few. */
	private static final int MAX_SKIPPED_RESPONSES = 16;

	/**
	 * A response to another request that stops for longer inside its head or body may
	 * have been joined with the response that is awaited.
	 */
	private static final long MAX_SKIPPING_SILENCE_MILLIS = 500;

	/**
	 * A larger body is written in pieces as the endpoint reads it, since a channel copies
	 * what it has to write, and the copies of many bodies would fill the memory.
	 */
	private static final int MAX_UNDIVIDED_BODY_BYTES = 64 * 1024;

	private static final int BODY_PIECE_BYTES = 16 * 1024;

	private static final Logger logger = LoggerFactory.getLogger(HttpConnection.class);

	private final HttpExchanger exchanger;

	private final String address;

	private final ResponseDecoder decoder = new ResponseDecoder(HttpExchanger.DECODER_LIMITS, this::isHeadRequest);

	private ChannelHandlerContext context;

	private CurrentExchange current;

	/** Called when the connection is open, or null if it was opened for a request. */
	private Runnable onConnected;

	private boolean isKeepAlive;

	private boolean hasResponseStarted;

	private boolean isSkippingResponse;

	/** Whether a part of the response that is skipped is still to come. */
	private boolean isSkippedResponseOpen;

	private long lastReadNanos;

	private int exchangeNumber;

	private int interimResponses;

	private int skippedBytes;

	private int skippedResponses;

	private boolean isReuseForbidden;

	/** The request whose body is not written completely, or null if there is none. */
	private CurrentExchange writing;

	private long lastWrittenNanos;

	private long reusableUntilNanos;

	private long connectStartedNanos;

	private long openedNanos;

	private long maxDelayMillis;

	private long keepAliveMillis = HttpExchanger.DEFAULT_KEEP_ALIVE_MILLIS;

	HttpConnection(HttpExchanger exchanger, String address) {
		this.exchanger = exchanger;
		this.address = address;
	}

	ResponseDecoder decoder() {
		return this.decoder;
	}

	private boolean isHeadRequest() {
		return this.current != null && this.current.request.method().equals(HttpMethod.HEAD);
	}

	String address() {
		return this.address;
	}

	boolean isReusable(long nowNanos) {
		return this.context.channel().isActive() && !this.isReuseForbidden && !this.decoder.hasBufferedBytes()
				&& nowNanos < this.reusableUntilNanos;
	}

	HttpExchanger.Exchange startWhenConnected(FullHttpRequest request, long maxDelayMillis, ExchangeListener listener) {
		this.current = new CurrentExchange(request, listener);
		this.connectStartedNanos = System.nanoTime();
		this.maxDelayMillis = maxDelayMillis;
		return this.current;
	}

	void idleWhenConnected(Runnable onConnected) {
		this.onConnected = onConnected;
	}

	HttpExchanger.Exchange start(FullHttpRequest request, ExchangeListener listener) {
		CurrentExchange next = new CurrentExchange(request, listener);
		this.current = next;
		write(next);
		return next;
	}

	private void write(CurrentExchange next) {
		next.isSent = true;
		this.exchangeNumber++;
		this.hasResponseStarted = false;
		this.interimResponses = 0;
		this.isKeepAlive = false;
		if (next.request.content().readableBytes() > MAX_UNDIVIDED_BODY_BYTES) {
			startDivided(next);
			return;
		}
		this.context.writeAndFlush(next.request).addListener((result) -> failUnlessWritten(result));
	}

	private void failUnlessWritten(Future<?> result) {
		if (!result.isSuccess()) {
			failLost("request could not be written", result.cause());
		}
	}

	private void startDivided(CurrentExchange next) {
		FullHttpRequest request = next.request;
		this.writing = next;
		this.lastWrittenNanos = System.nanoTime();
		this.context
			.write(new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(),
					request.headers()))
			.addListener(this::failUnlessWritten);
		writePieces();
		if (this.writing != null && this.exchanger.bodyStallMillis() != HttpExchanger.NO_BODY_STALL_LIMIT) {
			scheduleStallCheck(next, this.exchanger.bodyStallMillis());
		}
	}

	private void writePieces() {
		while (this.writing != null && this.context.channel().isWritable()
				&& this.writing.request.content().isReadable()) {
			CurrentExchange written = this.writing;
			ByteBuf body = written.request.content();
			ByteBuf piece = body.readRetainedSlice(Math.min(BODY_PIECE_BYTES, body.readableBytes()));
			boolean isLast = !body.isReadable();
			this.context.writeAndFlush(isLast ? new DefaultLastHttpContent(piece) : new DefaultHttpContent(piece))
				.addListener((result) -> pieceWritten(written, isLast, result));
		}
	}

	private void pieceWritten(CurrentExchange written, boolean isLast, Future<?> result) {
		this.lastWrittenNanos = System.nanoTime();
		if (isLast || !result.isSuccess()) {
			endWriting(written);
		}
		failUnlessWritten(result);
	}

	private void endWriting(CurrentExchange written) {
		if (this.writing == written && written != null) {
			this.writing = null;
			written.request.release();
		}
	}

	private void scheduleStallCheck(CurrentExchange exchange, long delayMillis) {
		this.context.executor().schedule(() -> checkStall(exchange), delayMillis, TimeUnit.MILLISECONDS);
	}

	// An endpoint may work on a request before it has read the body, so the request
	// counts as sent.
	private void checkStall(CurrentExchange exchange) {
		if (this.writing != exchange || this.current != exchange) {
			return;
		}
		long stalledMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.lastWrittenNanos);
		if (stalledMillis < this.exchanger.bodyStallMillis()) {
			scheduleStallCheck(exchange, this.exchanger.bodyStallMillis() - stalledMillis);
			return;
		}
		fail("nothing of the body was read for " + stalledMillis + " ms", null);
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		writePieces();
		ctx.fireChannelWritabilityChanged();
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.context = ctx;
		this.openedNanos = System.nanoTime();
		if (this.onConnected != null) {
			becomeIdle();
			this.onConnected.run();
			return;
		}
		if (this.current == null) {
			ctx.close();
			return;
		}
		if (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.connectStartedNanos) > this.maxDelayMillis) {
			failUnsent("connected too late to " + this.address, null);
			ctx.close();
			return;
		}
		write(this.current);
	}

	void handleConnectFailure(Throwable cause) {
		failUnsent("cannot connect to " + this.address, cause);
	}

	private void failUnsent(String message, Throwable cause) {
		CurrentExchange failed = this.current;
		this.current = null;
		if (failed != null) {
			failed.request.release();
			failed.listener.fail(new HttpExchanger.ExchangeException(message, false, false, cause));
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
		if (this.current == null) {
			closeForUnexpectedData();
			return;
		}
		if (message.decoderResult().isFailure()) {
			fail("answer is not HTTP", message.decoderResult().cause());
			return;
		}
		if (message instanceof HttpResponse head) {
			String fault = ResponseHeads.findFault(head);
			if (fault != null) {
				fail("answer is not HTTP: " + fault, null);
				return;
			}
			if (head.status().code() < MIN_FINAL_STATUS) {
				handleInterimResponse(head);
				return;
			}
			this.hasResponseStarted = true;
			this.isKeepAlive = HttpUtil.isKeepAlive(head) && hasBodyLength(head);
			this.keepAliveMillis = keepAliveMillis(head);
			this.isSkippingResponse = !this.current.listener.head(head, this.exchangeNumber);
			this.isReuseForbidden |= this.isSkippingResponse;
			if (this.isSkippingResponse && !startSkipping()) {
				return;
			}
		}
		if (message instanceof HttpContent content && this.current != null && this.hasResponseStarted) {
			if (this.isSkippingResponse) {
				this.skippedBytes += content.content().readableBytes();
				this.isSkippedResponseOpen = !(content instanceof LastHttpContent);
				if (this.skippedBytes > MAX_SKIPPED_BYTES) {
					fail("response to another request is larger than " + MAX_SKIPPED_BYTES + " bytes", null);
				}
				return;
			}
			if (content.content().isReadable()) {
				this.current.listener.content(content.content());
			}
			if (content instanceof LastHttpContent && this.current != null) {
				finish();
			}
		}
	}

	private boolean startSkipping() {
		if (++this.skippedResponses > MAX_SKIPPED_RESPONSES) {
			fail("more than " + MAX_SKIPPED_RESPONSES + " responses to other requests", null);
			return false;
		}
		this.isSkippedResponseOpen = true;
		if (this.skippedResponses == 1) {
			scheduleSilenceCheck(this.current, MAX_SKIPPING_SILENCE_MILLIS);
		}
		return true;
	}

	private void scheduleSilenceCheck(CurrentExchange exchange, long delayMillis) {
		this.context.executor().schedule(() -> checkSkippingSilence(exchange), delayMillis, TimeUnit.MILLISECONDS);
	}

	private void checkSkippingSilence(CurrentExchange exchange) {
		if (this.current != exchange || !this.isSkippingResponse) {
			return;
		}
		long silenceMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.lastReadNanos);
		boolean isAwaitingRest = this.isSkippedResponseOpen || this.decoder.hasBufferedBytes();
		boolean isReading = this.context.channel().config().isAutoRead();
		if (silenceMillis < MAX_SKIPPING_SILENCE_MILLIS) {
			scheduleSilenceCheck(exchange, MAX_SKIPPING_SILENCE_MILLIS - silenceMillis);
		}
		else if (isAwaitingRest && isReading) {
			fail("response to another request has stopped for " + silenceMillis + " ms", null);
		}
		else {
			scheduleSilenceCheck(exchange, MAX_SKIPPING_SILENCE_MILLIS);
		}
	}

	private void handleInterimResponse(HttpResponse head) {
		if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
			fail("protocol was switched to '" + head.headers().get(HttpHeaderNames.UPGRADE) + "'", null);
		}
		else if (++this.interimResponses > MAX_INTERIM_RESPONSES) {
			fail("more than " + MAX_INTERIM_RESPONSES + " interim responses", null);
		}
	}

	private void closeForUnexpectedData() {
		if (!this.isReuseForbidden) {
			logger.info("address={} event=unexpected_data exchange={}", this.address, this.exchangeNumber);
			this.exchanger.countUnexpectedData();
		}
		close();
	}

	// Less than a head stays in the decoder, and the next response would be appended.
	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		this.lastReadNanos = System.nanoTime();
		if (this.current == null && this.decoder.hasBufferedBytes()) {
			closeForUnexpectedData();
		}
		ctx.fireChannelReadComplete();
	}

	private static boolean hasBodyLength(HttpResponse head) {
		return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
	}

	private static long keepAliveMillis(HttpResponse head) {
		String header = head.headers().get("Keep-Alive");
		int start = (header != null) ? header.indexOf("timeout=") : -1;
		if (start < 0) {
			return HttpExchanger.DEFAULT_KEEP_ALIVE_MILLIS;
		}
		String digits = header.substring(start + "timeout=".length()).split("[^0-9]", 2)[0];
		if (digits.isEmpty() || digits.length() > 6) {
			return HttpExchanger.DEFAULT_KEEP_ALIVE_MILLIS;
		}
		long millis = TimeUnit.SECONDS.toMillis(Long.parseLong(digits));
		return Math.max(0, millis - KEEP_ALIVE_MARGIN_MILLIS);
	}

	private void finish() {
		CurrentExchange finished = this.current;
		this.current = null;
		boolean isWritten = this.writing == null;
		if (this.isKeepAlive && this.context.channel().isActive() && !this.isReuseForbidden && isWritten) {
			this.context.channel().config().setAutoRead(true);
			becomeIdle();
		}
		else {
			this.context.close();
		}
		finished.listener.end();
	}

	private void becomeIdle() {
		this.reusableUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.keepAliveMillis);
		this.exchanger.addIdle(this);
	}

	private void fail(String message, Throwable cause) {
		fail(message, false, cause);
	}

	private void failLost(String message, Throwable cause) {
		fail(message, true, cause);
	}

	private void fail(String message, boolean isConnectionLost, Throwable cause) {
		CurrentExchange failed = this.current;
		this.current = null;
		this.isReuseForbidden = true;
		if (this.context != null) {
			this.context.close();
		}
		if (failed != null) {
			failed.listener.fail(new HttpExchanger.ExchangeException(message + " (" + this.address + ")", failed.isSent,
					isConnectionLost, cause));
		}
	}

	private void reset() {
		try {
			this.context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
		}
		catch (ChannelException ex) {
			logger.debug("address={} event=not_reset cause=\"{}\"", this.address, ex.toString());
		}
		this.context.close();
	}

	void close() {
		this.isReuseForbidden = true;
		this.context.close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		endWriting(this.writing);
		this.exchanger.removeIdle(this);
		failLost("connection was closed", null);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		failLost("connection was broken", cause);
	}

	/**
	 * The exchange in progress on the connection. It is not thread-safe; all calls come
	 * from one event loop.
	 */
	private final class CurrentExchange implements HttpExchanger.Exchange {

		private final FullHttpRequest request;

		private final ExchangeListener listener;

		private boolean isSent;

		CurrentExchange(FullHttpRequest request, ExchangeListener listener) {
			this.request = request;
			this.listener = listener;
		}

		@Override
		public void cancel() {
			if (HttpConnection.this.current != this) {
				return;
			}
			HttpConnection.this.current = null;
			HttpConnection.this.isReuseForbidden = true;
			if (HttpConnection.this.context != null) {
				reset();
			}
			else {
				this.request.release();
			}
		}

		@Override
		public long connectionAgeMillis() {
			boolean wasOpened = HttpConnection.this.context != null;
			return wasOpened ? TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - HttpConnection.this.openedNanos) : 0;
		}

		@Override
		public void setAutoRead(boolean isReading) {
			if (HttpConnection.this.current == this && HttpConnection.this.context != null) {
				HttpConnection.this.context.channel().config().setAutoRead(isReading);
			}
		}

	}

}
