package org.poplarloom.port.http;

import java.util.function.BooleanSupplier;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of one connection, and tells whether it keeps bytes of which it
 * has made no message yet.
 * <p>
 * This class is not thread-safe; the event loop of the connection guards it.
 */
final class ResponseDecoder extends HttpResponseDecoder {

	private final BooleanSupplier isHeadRequest;

	/**
	 * Creates a decoder.
	 * @param config the limits
	 * @param isHeadRequest supplies whether the request in progress asks for no body
	 */
	ResponseDecoder(HttpDecoderConfig config, BooleanSupplier isHeadRequest) {
		super(config);
		this.isHeadRequest = isHeadRequest;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.isHeadRequest.getAsBoolean() || super.isContentAlwaysEmpty(message);
	}

	boolean hasBufferedBytes() {
		return actualReadableBytes() > 0;
	}

}
