package org.poplarloom.entry.relay;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.concurrent.ScheduledFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.process.MemoryBudget;
import org.poplarloom.core.version.RoutingTable;
import org.poplarloom.port.relay.CallerProtocol;
import org.poplarloom.port.relay.RelayRequest;

/**
 * A caller's HTTP/1.1 connection, which carries one request at a time.
 * <p>
 * A request is relayed only after its body has arrived completely. When the caller closes
 * the connection, its request is cancelled. This class is not thread-safe; the event loop
 * guards it.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> implements CallerReply, HeadGuard {

	private static final Logger logger = LoggerFactory.getLogger(CallerConnection.class);

	private static final int HEADERS_TOO_LARGE_STATUS = 431;

	/** What the network may add to the time that a caller takes for a head. */
	private static final long HEAD_DELAY_MILLIS = 1_000;

	/** A body of 4 MB leaves the memory within some hundred milliseconds. */
	private static final long MEMORY_RETRY_AFTER_MILLIS = 500;

	/**
	 * How long the rest of a refused request is discarded: closing the connection at once
	 * would reset it before the caller has read the answer.
	 */
	private static final long DISCARD_MILLIS = 2_000;

	/**
	 * A stream that is complete is cut off so long after the timeout of its request: the
	 * caller may take the last bytes, and sees the end within 0.5 s.
	 */
	private static final long DELIVERY_GRACE_MILLIS = 250;

	/**
	 * A longer answer is written piece by piece, since the socket copies what it gets.
	 */
	private static final int MAX_UNDIVIDED_BYTES = 64 * 1024;

	private static final List<CharSequence> CONNECTION_HEADERS = List.of(HttpHeaderNames.CONNECTION, "Keep-Alive",
			HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.CONTENT_LENGTH, HttpHeaderNames.UPGRADE,
			HttpHeaderNames.TRAILER, "Proxy-Connection");

	private final CallerServer server;

	private final CallerProtocol protocol;

	private final RelayService relay;

	/** The limits in force when the head of the current request arrived. */
	private RoutingTable.CallerLimits limits;

	private ChannelHandlerContext context;

	private HttpRequest head;

	private final ByteSegments body = new ByteSegments();

	/** Identifies the connection among those that are sending a body. */
	private final Runnable giveUpBody = this::giveUpBody;

	/** Identifies the connection among those whose requests are incomplete. */
	private final Runnable giveUpHead = this::giveUpHead;

	private final MemoryBudget.Share memory;

	/** The memory of the head of the current request. */
	private MemoryBudget.Share headMemory;

	/** The memory of the head or the trailers that are being read. */
	private MemoryBudget.Share linesMemory;

	/** Whether a head has begun that is not complete. */
	private boolean headBegun;

	private final MemoryBudget.Share unwritten;

	private RelayRequest request;

	private RelayRun run;

	private boolean keepAlive;

	private boolean busy;

	/** Responses that have ended but have not been written to the socket completely. */
	private int pendingWrites;

	/** The bytes of the answer that are still to be written, or null if there is none. */
	private AnswerBuffer buffer;

	/** Whether the endpoint has sent the answer completely. */
	private boolean bufferEnded;

	/** Cuts off a stream that the caller does not take in time. */
	private ScheduledFuture<?> deliveryTimer;

	/** Cuts off an answer of which the caller takes nothing. */
	private WriteStallTimer stallTimer;

	private boolean closing;

	private boolean discarding;

	private ScheduledFuture<?> timer;

	private long idleSinceNanos;

	CallerConnection(CallerServer server, CallerProtocol protocol, RelayService relay) {
		this.server = server;
		this.protocol = protocol;
		this.relay = relay;
		this.memory = relay.memory().openShare();
		this.unwritten = relay.memory().openShare();
		this.headMemory = relay.memory().openShare();
		this.linesMemory = relay.memory().openShare();
	}

	/**
	 * Returns whether a request is in progress or its response is still to be written.
	 * @return false if the connection can be closed without the loss of a response
	 */
	boolean isBusy() {
		return this.busy || this.pendingWrites > 0;
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.context = ctx;
		this.stallTimer = new WriteStallTimer(ctx.channel(), () -> this.server.limits().idleTimeoutMillis(),
				this::cutOffDelivery);
		this.server.add(this);
		this.idleSinceNanos = System.nanoTime();
		startIdleTimer();
	}

	/**
	 * Applies the idle timeout in force to a connection that waits for a request; other
	 * limits apply from the next request on.
	 */
	void applyLimits() {
		if (this.head == null && !this.headBegun && !this.busy && !this.closing) {
			startIdleTimer();
		}
	}

	private void startIdleTimer() {
		long idleMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.idleSinceNanos);
		startTimer(Math.max(0, this.server.limits().idleTimeoutMillis() - idleMillis));
	}

	private void startTimer(long delayMillis) {
		stopTimer();
		this.timer = this.context.executor().schedule(this::timedOut, delayMillis, TimeUnit.MILLISECONDS);
	}

	private void stopTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
	}

	private void timedOut() {
		if ((this.head != null || this.headBegun) && !this.busy && !this.closing) {
			refuseIncomplete(ErrorCode.BODY_TIMEOUT, "the request did not arrive in time");
		}
		else if (!isBusy()) {
			this.context.close();
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
		if (this.closing) {
			return;
		}
		if (this.busy || this.pendingWrites > 0) {
			// Pipelining is not supported.
			logger.info("event=pipelined_request request={}", (this.request != null) ? this.request.id() : "");
			cancel("the caller sent another request before the answer");
			ctx.close();
			return;
		}
		if (message.decoderResult().isFailure()) {
			refuseMalformed(message.decoderResult().cause());
			return;
		}
		if (message instanceof HttpRequest next) {
			startRequest(next);
		}
		if (message instanceof HttpContent content && this.head != null) {
			appendBody(content);
		}
	}

	@Override
	public int maxHeaderBytes() {
		return this.server.limits().headerBytes();
	}

	@Override
	public void beginHead() {
		this.headBegun = true;
		if (!isBusy() && !this.closing) {
			startHeadTimer();
		}
	}

	private void startHeadTimer() {
		startTimer(this.server.limits().headerTimeoutMillis() + HEAD_DELAY_MILLIS);
	}

	@Override
	public void hold(long bytes) {
		if (this.closing || !this.linesMemory.tryResize(bytes)) {
			throw memoryFailure();
		}
		this.server.incomingHeads().record(this.giveUpHead, this.headMemory.sizeBytes() + bytes);
		if (this.closing) {
			throw memoryFailure();
		}
	}

	private void giveUpHead() {
		if (isBusy()) {
			cancel("the caller sent another request before the answer");
			this.context.close();
			return;
		}
		refuseIncomplete(tooSlow());
	}

	private void refuseMalformed(Throwable cause) {
		this.keepAlive = false;
		if (cause instanceof PoplarloomException failure) {
			refuseIncomplete(failure);
			return;
		}
		if (cause instanceof TooLongHttpHeaderException) {
			refuseHeaders();
			return;
		}
		refuseIncomplete(ErrorCode.INVALID_REQUEST, "request is not HTTP: " + cause.getMessage());
	}

	private void refuseHeaders() {
		discardRest();
		writeText(HttpResponseStatus.valueOf(HEADERS_TOO_LARGE_STATUS), "headers are too large", 0);
	}

	private void startRequest(HttpRequest next) {
		this.head = next;
		this.server.callers().recordActivity(this.context.channel());
		keepHead();
		this.limits = this.server.limits();
		this.body.clear();
		this.keepAlive = HttpUtil.isKeepAlive(next);
		startTimer(this.limits.headerTimeoutMillis() + this.limits.idleTimeoutMillis());
		if (!isLengthClear(next.headers())) {
			refuseIncomplete(ErrorCode.INVALID_REQUEST, "transfer encoding must be 'chunked', but was '"
					+ String.join(", ", next.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)) + "'");
		}
		else if (HttpUtil.getContentLength(next, 0L) > this.limits.bodyBytes()) {
			refuseTooLarge();
		}
		else if (!this.memory.canHold(HttpUtil.getContentLength(next, 0L))) {
			refuseForLackOfMemory();
		}
		else if (HttpUtil.is100ContinueExpected(next)) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
	}

	private void keepHead() {
		this.headBegun = false;
		MemoryBudget.Share released = this.headMemory;
		this.headMemory = this.linesMemory;
		this.linesMemory = released;
	}

	private void releaseLines() {
		this.server.incomingHeads().remove(this.giveUpHead);
		this.linesMemory.close();
	}

	// What follows a body of unclear length could be read as a request of its own.
	private static boolean isLengthClear(HttpHeaders headers) {
		List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
		return codings.isEmpty()
				|| (codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).trim()));
	}

	private void appendBody(HttpContent content) {
		int addedBytes = content.content().readableBytes();
		if (this.body.sizeBytes() + addedBytes > this.limits.bodyBytes()) {
			refuseTooLarge();
			return;
		}
		if (!this.memory.tryResize(this.body.allocatedBytes(addedBytes))) {
			refuseForLackOfMemory();
			return;
		}
		this.body.append(content.content());
		this.server.callers().recordActivity(this.context.channel());
		if (content instanceof LastHttpContent) {
			dispatchRequest();
		}
		else {
			this.relay.incomingBodies().record(this.giveUpBody, this.memory.sizeBytes());
		}
	}

	private void giveUpBody() {
		refuseIncomplete(tooSlow());
	}

	private static PoplarloomException tooSlow() {
		return new PoplarloomException(ErrorCode.INSTANCE_BUSY, Executed.NO,
				"the request arrives too slowly, and others need the memory", MEMORY_RETRY_AFTER_MILLIS);
	}

	private void refuseTooLarge() {
		refuseIncomplete(ErrorCode.BODY_TOO_LARGE, "the body is larger than " + this.limits.bodyBytes() + " bytes");
	}

	private void refuseForLackOfMemory() {
		refuseIncomplete(memoryFailure());
	}

	private PoplarloomException memoryFailure() {
		MemoryBudget budget = this.relay.memory();
		return new PoplarloomException(ErrorCode.INSTANCE_BUSY, Executed.NO,
				budget.heldBytes() + " of " + budget.capacityBytes() + " bytes for requests and answers are held",
				MEMORY_RETRY_AFTER_MILLIS);
	}

	private void refuseIncomplete(ErrorCode code, String message) {
		refuseIncomplete(new PoplarloomException(code, message));
	}

	private void refuseIncomplete(PoplarloomException failure) {
		discardRest();
		refuse(failure);
	}

	private void discardRest() {
		this.keepAlive = false;
		this.discarding = true;
		this.request = null;
		this.context.pipeline().get(CallerCodec.class).discardRest();
		if (this.head != null) {
			this.head.headers().clear();
		}
		releaseLines();
	}

	private void dispatchRequest() {
		stopTimer();
		this.relay.incomingBodies().remove(this.giveUpBody);
		releaseLines();
		byte[] bytes = this.body.pollAll();
		this.memory.tryResize(bytes.length);
		this.busy = true;
		this.server.callers().setBusy(this.context.channel());
		try {
			this.request = this.protocol.read(this.head, bytes);
			// The request has headers of its own.
			this.head.headers().clear();
		}
		catch (PoplarloomException ex) {
			this.request = null;
			refuse(ex);
			return;
		}
		this.run = this.relay.start(this.request, this);
	}

	private void cancel(String reason) {
		RelayRun cancelledRun = this.run;
		this.run = null;
		if (cancelledRun != null) {
			cancelledRun.cancel(reason);
		}
	}

	@Override
	public void refuse(PoplarloomException failure) {
		if (this.request == null) {
			logger.info("event=refused code={} cause=\"{}\"", failure.code().text(), failure.getMessage());
		}
		writeText(HttpResponseStatus.valueOf(failure.code().status()),
				failure.code().text() + ": " + failure.getMessage() + "\n", failure.retryAfterMillis());
	}

	private void writeText(HttpResponseStatus status, String text, long retryAfterMillis) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
		this.protocol.addRefusalHeaders(this.request, retryAfterMillis, response.headers());
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
		writeResponse(response);
	}

	private void writeResponse(FullHttpResponse response) {
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
		boolean isKeptOpen = setConnectionHeader(response);
		finishRequest(isKeptOpen);
		int bytes = response.content().readableBytes();
		boolean isHeld = this.unwritten.tryResize(this.unwritten.sizeBytes() + bytes);
		writeLast(response, isHeld ? bytes : 0, isKeptOpen);
	}

	private boolean setConnectionHeader(HttpResponse response) {
		boolean isKeptOpen = this.keepAlive && !this.server.isKeepAliveDisabled();
		if (!isKeptOpen) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		return isKeptOpen;
	}

	private void finishRequest(boolean isKeptOpen) {
		closeBuffer();
		this.busy = false;
		this.run = null;
		this.head = null;
		this.request = null;
		releaseBody();
		this.closing = !isKeptOpen;
		if (isKeptOpen) {
			awaitNextRequest();
		}
	}

	private void awaitNextRequest() {
		this.idleSinceNanos = System.nanoTime();
		if (this.headBegun) {
			startHeadTimer();
		}
		else {
			startIdleTimer();
		}
	}

	private void releaseBody() {
		this.relay.incomingBodies().remove(this.giveUpBody);
		this.memory.close();
		this.headMemory.close();
		this.body.clear();
	}

	private void writeLast(HttpObject message, int heldBytes, boolean isKeptOpen) {
		this.pendingWrites++;
		ChannelFuture write = writeHeld(message, heldBytes);
		boolean isDelayed = !write.isDone();
		write.addListener((result) -> {
			this.pendingWrites--;
			this.server.callers().setIdle(this.context.channel());
			stopDeliveryTimer();
			if (isDelayed && isKeptOpen && result.isSuccess()) {
				awaitNextRequest();
			}
			closeUnless(isKeptOpen && result.isSuccess());
		});
	}

	private void startDeliveryTimer(long delayMillis) {
		if (this.relay.answerBuffers().hasRoomForAny()) {
			this.deliveryTimer = this.context.executor()
				.schedule(this::cutOffDelivery, delayMillis, TimeUnit.MILLISECONDS);
		}
	}

	private void stopDeliveryTimer() {
		if (this.deliveryTimer != null) {
			this.deliveryTimer.cancel(false);
			this.deliveryTimer = null;
		}
	}

	private void cutOffDelivery() {
		logger.info("event=delivery_cut_off buffered_bytes={} unwritten_bytes={}",
				(this.buffer != null) ? this.buffer.sizeBytes() : 0, this.unwritten.sizeBytes());
		this.relay.answerBuffers().recordCutOff();
		this.context.close();
	}

	private void closeUnless(boolean isKeptOpen) {
		if (isKeptOpen) {
			return;
		}
		if (this.discarding && this.context.channel() instanceof DuplexChannel channel && channel.isActive()) {
			channel.shutdownOutput();
			this.context.executor().schedule(() -> this.context.close(), DISCARD_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		this.context.close();
	}

	// The memory counts until the caller's side has taken the bytes.
	private ChannelFuture writeHeld(HttpObject message, int bytes) {
		this.relay.answerBuffers().addHeld(bytes);
		ChannelFuture write = this.context.writeAndFlush(message).addListener((result) -> {
			this.relay.answerBuffers().addHeld(-bytes);
			this.unwritten.tryResize(this.unwritten.sizeBytes() - bytes);
		});
		this.stallTimer.observe(write);
		return write;
	}

	@Override
	public void answer(HttpResponse answer, byte[] content) {
		HttpHeaders headers = withoutConnectionHeaders(answer.headers());
		if (content.length > MAX_UNDIVIDED_BYTES && startDivided(answer, headers, content)) {
			return;
		}
		writeResponse(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, answer.status(),
				Unpooled.wrappedBuffer(content), headers, new DefaultHttpHeaders()));
	}

	private boolean startDivided(HttpResponse answer, HttpHeaders headers, byte[] content) {
		// It takes no room from answers that are still being read.
		AnswerBuffer whole = new AnswerBuffer(AnswerBuffers.withoutRoom(this.relay::nowMillis), "",
				this.relay.memory().openShare(), (isReading) -> {
				});
		if (!whole.append(content)) {
			return false;
		}
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, answer.status(), headers);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
		this.keepAlive = setConnectionHeader(response);
		this.buffer = whole;
		this.context.writeAndFlush(response);
		endBuffered();
		return true;
	}

	private static HttpHeaders withoutConnectionHeaders(HttpHeaders headers) {
		HttpHeaders copy = new DefaultHttpHeaders();
		for (Map.Entry<String, String> header : headers) {
			copy.add(header.getKey(), header.getValue());
		}
		CONNECTION_HEADERS.forEach(copy::remove);
		return copy;
	}

	@Override
	public void startStream(HttpResponse answer) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, answer.status(),
				withoutConnectionHeaders(answer.headers()));
		response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		this.keepAlive = setConnectionHeader(response);
		this.buffer = new AnswerBuffer(this.relay.answerBuffers(), callerName(), this.relay.memory().openShare(),
				this::setReading);
		this.context.writeAndFlush(response);
	}

	private void setReading(boolean isReading) {
		if (this.run != null) {
			this.run.setReading(isReading);
		}
	}

	// Callers of one team may read at different speeds on different machines.
	private String callerName() {
		String host = (this.context.channel().remoteAddress() instanceof InetSocketAddress address)
				? address.getHostString() : "";
		return this.request.apiKey() + "@" + host;
	}

	@Override
	public void requireRoom() {
		this.relay.answerBuffers().requireRoom(callerName());
	}

	@Override
	public void writeChunk(byte[] content) {
		boolean isDirect = this.buffer.isEmpty() && this.context.channel().isWritable();
		if (isDirect ? writeDirect(content) : this.buffer.append(content)) {
			return;
		}
		this.relay.answerBuffers().recordCutOff();
		logger.warn("request={} event=memory_refused unwritten_bytes={} cause=\"the caller reads too slowly\"",
				this.request.id(), this.unwritten.sizeBytes() + this.buffer.sizeBytes());
		cancel("the caller reads too slowly");
		this.context.close();
	}

	private boolean writeDirect(byte[] content) {
		if (!this.unwritten.tryResize(this.unwritten.sizeBytes() + content.length)) {
			return false;
		}
		writeHeld(new DefaultHttpContent(Unpooled.wrappedBuffer(content)), content.length);
		return true;
	}

	@Override
	public void endStream(long remainingMillis) {
		startDeliveryTimer(Math.max(0, remainingMillis) + DELIVERY_GRACE_MILLIS);
		endBuffered();
	}

	// The request stays in progress until the last of its bytes is written.
	private void endBuffered() {
		this.run = null;
		this.bufferEnded = true;
		writeBuffered();
	}

	private void writeBuffered() {
		while (this.buffer != null && !this.buffer.isEmpty() && this.context.channel().isWritable()) {
			if (!writeDirect(this.buffer.poll())) {
				this.context.close();
				return;
			}
		}
		if (this.buffer != null && this.buffer.isEmpty() && this.bufferEnded) {
			boolean isKeptOpen = this.keepAlive;
			finishRequest(isKeptOpen);
			writeLast(LastHttpContent.EMPTY_LAST_CONTENT, 0, isKeptOpen);
		}
	}

	@Override
	public void abort() {
		finishRequest(false);
		this.context.close();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		if (ctx.channel().isWritable()) {
			writeBuffered();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		stopTimer();
		stopDeliveryTimer();
		this.stallTimer.stop();
		this.server.remove(this);
		cancel("the caller closed the connection");
		releaseBody();
		releaseLines();
		closeBuffer();
		this.busy = false;
	}

	private void closeBuffer() {
		if (this.buffer == null) {
			return;
		}
		this.buffer.close();
		String slowness = this.buffer.describe();
		if (!slowness.isEmpty()) {
			logger.info("request={} event=read_slowly {}", (this.request != null) ? this.request.id() : "", slowness);
		}
		this.buffer = null;
		this.bufferEnded = false;
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		logger.debug("caller connection failed: {}", cause.toString());
		ctx.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
	}

}
