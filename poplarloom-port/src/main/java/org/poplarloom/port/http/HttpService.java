package org.poplarloom.port.http;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;

import io.micronaut.http.MediaType;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.reactivestreams.Publisher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.port.ServicePort;

/**
 * Calls plain services over HTTP.
 * <p>
 * A call is sent at most once, on a connection of its own: answers name no call, so a
 * late copy of one could be taken for the answer of the next call. An answer that only
 * the end of its connection delimits may be the beginning of another one, so it is no
 * answer. This class is thread-safe.
 */
public final class HttpService implements ServicePort {

	private static final Logger logger = LoggerFactory.getLogger(HttpService.class);

	private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

	private final EventLoop loop;

	private final HttpExchanger exchanger;

	/**
	 * Creates a client without open connections.
	 * @param loop runs all calls; the owner ends it
	 */
	public HttpService(EventLoop loop) {
		this.loop = loop;
		this.exchanger = new HttpExchanger(loop);
	}

	@Override
	public Publisher<ServiceAnswer> call(String address, ServiceCall call) {
		return Mono.defer(() -> {
			FullHttpRequest request = request(PlatformClient.uri(address, call.path()), call);
			return Mono.create((sink) -> this.loop.execute(() -> start(address, request, sink)));
		});
	}

	private static FullHttpRequest request(URI uri, ServiceCall call) {
		String target = uri.getRawPath() + ((uri.getRawQuery() != null) ? "?" + uri.getRawQuery() : "");
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, target,
				Unpooled.wrappedBuffer(call.body()));
		request.headers()
			.set(HttpHeaderNames.HOST, uri.getAuthority())
			.set(HttpHeaderNames.CONTENT_TYPE, call.contentType())
			.set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
		if (!call.idempotencyKey().isEmpty()) {
			request.headers().set("Idempotency-Key", call.idempotencyKey());
		}
		return request;
	}

	private void start(String address, FullHttpRequest request, MonoSink<ServiceAnswer> sink) {
		AnswerListener listener = new AnswerListener(address, sink);
		listener.exchange = this.exchanger.sendOnNewConnection(address, request, listener);
		sink.onCancel(() -> this.loop.execute(listener.exchange::cancel));
	}

	/**
	 * Collects the answer to one call. It is not thread-safe; the event loop guards it.
	 */
	private final class AnswerListener implements ExchangeListener {

		private final String address;

		private final MonoSink<ServiceAnswer> sink;

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private HttpExchanger.Exchange exchange;

		private HttpResponse head;

		AnswerListener(String address, MonoSink<ServiceAnswer> sink) {
			this.address = address;
			this.sink = sink;
		}

		@Override
		public boolean head(HttpResponse response, int exchangeNumber) {
			this.head = response;
			boolean hasLength = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
			if (!hasLength && !response.status().equals(HttpResponseStatus.NO_CONTENT)) {
				reject("response with status " + response.status().code() + " has neither a length nor chunks");
			}
			return true;
		}

		@Override
		public void content(ByteBuf content) {
			if (this.body.size() + content.readableBytes() > MAX_ANSWER_BYTES) {
				reject("response is larger than " + MAX_ANSWER_BYTES + " bytes");
				return;
			}
			byte[] bytes = new byte[content.readableBytes()];
			content.readBytes(bytes);
			this.body.writeBytes(bytes);
		}

		private void reject(String reason) {
			this.exchange.cancel();
			this.sink.error(failure(Executed.UNKNOWN, reason));
		}

		@Override
		public void end() {
			HttpService.this.exchanger.closeIdle(this.address);
			this.sink.success(new ServiceAnswer(this.head.status().code(), contentType(),
					this.body.toString(StandardCharsets.UTF_8)));
		}

		private String contentType() {
			String type = this.head.headers().get(HttpHeaderNames.CONTENT_TYPE, MediaType.APPLICATION_JSON);
			try {
				return MediaType.of(type).toString();
			}
			catch (IllegalArgumentException ex) {
				logger.info("address={} event=unreadable_header name={} value=\"{}\"", this.address,
						HttpHeaderNames.CONTENT_TYPE, type);
				return MediaType.APPLICATION_JSON;
			}
		}

		@Override
		public void fail(HttpExchanger.ExchangeException failure) {
			this.sink.error(failure(failure.isSent() ? Executed.UNKNOWN : Executed.NO, failure.getMessage()));
		}

		private static PoplarloomException failure(Executed executed, String reason) {
			return new PoplarloomException(ErrorCode.ENDPOINT_FAILED, executed, "service: " + reason);
		}

	}

}
