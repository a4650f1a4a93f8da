package org.poplarloom.entry.relay;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Decodes requests and counts their heads line by line, so that a head is refused before
 * it holds more than its guard allows.
 * <p>
 * Nothing is decoded after a refusal: what follows is discarded as it arrives. This class
 * is not thread-safe; the event loop of the connection guards it.
 */
class GuardedRequestDecoder extends HttpRequestDecoder {

	/** The colon and the space between a header's name and value. */
	private static final int SEPARATOR_BYTES = 2;

	/**
	 * The objects of a header line: its name, its value, and an entry each in the headers
	 * as they were received, as they are kept and as they are sent on.
	 */
	private static final int LINE_OBJECT_BYTES = 256;

	/** The guard is asked for so much at a time, as most heads are smaller. */
	private static final int HOLD_STEP_BYTES = 4_096;

	/**
	 * How many bytes on the connection make one byte of the limit at most: line breaks
	 * and spaces around a value do not count.
	 */
	private static final int MAX_BYTES_PER_LIMIT_BYTE = 2;

	private final Account account;

	private final int maxInitialLineBytes;

	/** Whether the head of a request, or empty lines before it, are being read. */
	private boolean inHead = true;

	private boolean begun;

	private long skippedBytes;

	private long headBytes;

	private boolean refused;

	GuardedRequestDecoder(HttpDecoderConfig limits, HeadGuard guard) {
		this(limits, new Account(guard));
	}

	private GuardedRequestDecoder(HttpDecoderConfig limits, Account account) {
		super(limits.clone().setHeadersFactory(account).setTrailersFactory(account));
		this.account = account;
		this.maxInitialLineBytes = limits.getMaxInitialLineLength();
	}

	/**
	 * Returns the memory that a header line holds while its request is in progress.
	 * @param name the name
	 * @param value the value
	 * @return bytes
	 */
	static long lineBytes(CharSequence name, CharSequence value) {
		return LINE_OBJECT_BYTES + name.length() + value.length();
	}

	/**
	 * Drops the head that is being read, and discards what follows.
	 */
	void discardRest() {
		this.refused = true;
		this.account.clear();
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) throws Exception {
		begin();
		return super.createMessage(initialLine);
	}

	private void begin() {
		if (!this.begun) {
			this.begun = true;
			this.account.guard.beginHead();
		}
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.refused) {
			buffer.skipBytes(buffer.readableBytes());
			return;
		}
		int known = out.size();
		int available = buffer.readableBytes();
		super.decode(ctx, buffer, out);
		this.account.countBytes(available - buffer.readableBytes());
		for (int i = known; i < out.size(); i++) {
			record((HttpObject) out.get(i));
		}
		if (!this.refused && out.size() == known) {
			checkIncomplete(available - buffer.readableBytes(), buffer, out);
		}
	}

	private void record(HttpObject message) {
		if (message.decoderResult().isFailure()) {
			discardRest();
		}
		else if (message instanceof LastHttpContent) {
			this.inHead = true;
			this.begun = false;
			this.skippedBytes = 0;
			this.account.endLines();
		}
		else {
			this.inHead = false;
			this.account.endLines();
		}
	}

	private void checkIncomplete(int consumedBytes, ByteBuf buffer, List<Object> out) {
		try {
			if (this.inHead && buffer.isReadable()) {
				begin();
			}
			if (this.inHead && !this.begun) {
				this.skippedBytes += consumedBytes;
				requireAtMost(this.skippedBytes, this.account.guard.maxHeaderBytes());
			}
			else if (this.inHead || this.account.isReadingLines()) {
				requireAtMost(this.account.rawBytes + buffer.readableBytes(), this.maxInitialLineBytes
						+ (long) MAX_BYTES_PER_LIMIT_BYTE * this.account.guard.maxHeaderBytes());
				this.account.holdUnread(buffer.isReadable() ? buffer.capacity() : 0);
			}
		}
		catch (RuntimeException ex) {
			refuse(buffer, out, ex);
		}
	}

	private static void requireAtMost(long bytes, long limit) {
		if (bytes > limit) {
			throw new TooLongHttpHeaderException(bytes + " bytes exceed " + limit);
		}
	}

	private void refuse(ByteBuf buffer, List<Object> out, RuntimeException cause) {
		buffer.skipBytes(buffer.readableBytes());
		discardRest();
		HttpRequest invalid = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/bad-request");
		invalid.setDecoderResult(DecoderResult.failure(cause));
		out.add(invalid);
	}

	/**
	 * Counts the lines of one head, or of the trailers of one body.
	 */
	private static final class Account implements HttpHeadersFactory {

		private final HeadGuard guard;

		/** The lines that are being read, or null. */
		private HttpHeaders lines;

		private long limitBytes;

		private long lineBytes;

		private long heldBytes;

		private long unreadBytes;

		private long rawBytes;

		Account(HeadGuard guard) {
			this.guard = guard;
		}

		@Override
		public HttpHeaders newHeaders() {
			this.limitBytes = 0;
			this.lineBytes = 0;
			this.heldBytes = 0;
			this.lines = new CountedHeaders(this);
			return this.lines;
		}

		@Override
		public HttpHeaders newEmptyHeaders() {
			return newHeaders();
		}

		boolean isReadingLines() {
			return this.lines != null;
		}

		void countBytes(int bytes) {
			this.rawBytes += bytes;
		}

		void addLine(CharSequence name, CharSequence value) {
			this.limitBytes += name.length() + SEPARATOR_BYTES + value.length();
			requireAtMost(this.limitBytes, this.guard.maxHeaderBytes());
			this.lineBytes += GuardedRequestDecoder.lineBytes(name, value);
			hold();
		}

		void holdUnread(int bytes) {
			this.unreadBytes = bytes;
			hold();
		}

		private void hold() {
			long bytes = this.lineBytes + this.unreadBytes;
			if (bytes > this.heldBytes) {
				this.heldBytes = (bytes + HOLD_STEP_BYTES - 1) / HOLD_STEP_BYTES * HOLD_STEP_BYTES;
				this.guard.hold(this.heldBytes);
			}
		}

		void endLines() {
			this.lines = null;
			this.rawBytes = 0;
			this.unreadBytes = 0;
		}

		void clear() {
			if (this.lines != null) {
				this.lines.clear();
			}
			endLines();
		}

	}

	/**
	 * Counts each header line that the decoder adds.
	 */
	private static final class CountedHeaders extends DefaultHttpHeaders {

		private final Account account;

		CountedHeaders(Account account) {
			this.account = account;
		}

		@Override
		public HttpHeaders add(CharSequence name, Object value) {
			if (this.account.lines == this) {
				this.account.addLine(name, (CharSequence) value);
			}
			return super.add(name, value);
		}

	}

}
