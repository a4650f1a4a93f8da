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
 * Answers the balancer's health checks.
 * <p>
 * This class is not thread-safe; the event loop guards it.
 */
final class ReadinessHandler extends SimpleChannelInboundHandler<HttpObject> {

	private final Supplier<String> readiness;

	ReadinessHandler(Supplier<String> readiness) {
		this.readiness = readiness;
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
		String reason = this.readiness.get();
		HttpResponseStatus status = reason.isEmpty() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.copiedBuffer(reason, StandardCharsets.UTF_8));
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
		response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

}
