package org.poplarloom.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;

/**
 * Answers one HTTP request with a short text and closes the connection, for example the
 * load balancer's health checks.
 * <p>
 * The answer does not depend on the request, so nothing of it is kept but its first
 * characters and the position in its head. This class is not thread-safe; the event loop
 * guards it.
 */
final class TextHandler extends SimpleChannelInboundHandler<ByteBuf> {

	/** The largest head that is read, in bytes, with the empty lines before it. */
	static final int MAX_HEAD_BYTES = 8_192;

	private static final String HEAD_METHOD = "HEAD ";

	private final Supplier<Text> text;

	private final long timeoutMillis;

	private final StringBuilder method = new StringBuilder(HEAD_METHOD.length());

	private int headBytes;

	private boolean isLineEmpty = true;

	private boolean isAnswered;

	private Future<?> timer;

	/**
	 * Creates a handler for one connection.
	 * @param text supplies the answer
	 * @param timeoutMillis the time in which the request arrives and the answer is taken,
	 * in milliseconds
	 */
	TextHandler(Supplier<Text> text, long timeoutMillis) {
		this.text = text;
		this.timeoutMillis = timeoutMillis;
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.timer = ctx.executor().schedule(() -> ctx.close(), this.timeoutMillis, TimeUnit.MILLISECONDS);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.timer.cancel(false);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
		while (!this.isAnswered && bytes.isReadable()) {
			if (isEndOfHead((char) bytes.readUnsignedByte())) {
				answer(ctx);
			}
			else if (++this.headBytes > MAX_HEAD_BYTES) {
				this.isAnswered = true;
				ctx.close();
			}
		}
	}

	private boolean isEndOfHead(char next) {
		if (next == '\r') {
			return false;
		}
		if (next == '\n') {
			boolean isEnd = this.isLineEmpty && !this.method.isEmpty();
			this.isLineEmpty = true;
			return isEnd;
		}
		this.isLineEmpty = false;
		if (this.method.length() < HEAD_METHOD.length()) {
			this.method.append(next);
		}
		return false;
	}

	private void answer(ChannelHandlerContext ctx) {
		this.isAnswered = true;
		Text current = this.text.get();
		int contentBytes = ByteBufUtil.utf8Bytes(current.content());
		boolean hasBody = !this.method.toString().equals(HEAD_METHOD);
		String response = "HTTP/1.1 " + current.status() + "\r\ncontent-length: " + contentBytes
				+ "\r\nconnection: close\r\n\r\n" + (hasBody ? current.content() : "");
		ctx.writeAndFlush(Unpooled.copiedBuffer(response, StandardCharsets.UTF_8))
			.addListener(ChannelFutureListener.CLOSE);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

	/**
	 * The response.
	 *
	 * @param status the HTTP status
	 * @param content the body
	 */
	record Text(HttpResponseStatus status, String content) {
	}

}
