package org.poplarloom.entry.relay;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Decodes the requests and encodes the responses of one caller's connection, which
 * carries one request at a time.
 * <p>
 * A request that names both chunks and a length is malformed: what follows it could be
 * read as a request of its own. The response to a HEAD request has no body. This class is
 * not thread-safe; the event loop of the connection guards it.
 */
final class CallerCodec extends CombinedChannelDuplexHandler<GuardedRequestDecoder, HttpResponseEncoder> {

	private boolean isHeadRequest;

	CallerCodec(HttpDecoderConfig limits, HeadGuard guard) {
		init(new Decoder(limits, guard), new Encoder());
	}

	/**
	 * Drops the request whose head is being read, and discards what follows.
	 */
	void discardRest() {
		inboundHandler().discardRest();
	}

	private final class Decoder extends GuardedRequestDecoder {

		Decoder(HttpDecoderConfig limits, HeadGuard guard) {
			super(limits, guard);
		}

		@Override
		protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
			int known = out.size();
			super.decode(ctx, buffer, out);
			for (Object message : out.subList(known, out.size())) {
				if (message instanceof HttpRequest request) {
					CallerCodec.this.isHeadRequest = request.method().equals(HttpMethod.HEAD);
				}
			}
		}

		@Override
		protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
			throw new IllegalArgumentException("request names both chunks and a length");
		}

	}

	private final class Encoder extends HttpResponseEncoder {

		@Override
		protected boolean isContentAlwaysEmpty(HttpResponse message) {
			return CallerCodec.this.isHeadRequest || super.isContentAlwaysEmpty(message);
		}

	}

}
