package org.poplarloom.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Answers every request with a short text, for example the load balancer's health checks.
 * <p>
 * This class is not thread-safe; the event loop guards it.
 */
final class TextHandler extends SimpleChannelInboundHandler<HttpObject> {

	private final Supplier<Text> text;

	TextHandler(Supplier<Text> text) {
		this.text = text;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
		if (message.decoderResult().isFailure()) {
			ctx.close();
			return;
		}
		if (!(message instanceof LastHttpContent)) {
			return;
		}
		Text current = this.text.get();
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, current.status(),
				Unpooled.copiedBuffer(current.content(), StandardCharsets.UTF_8));
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
		response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
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
