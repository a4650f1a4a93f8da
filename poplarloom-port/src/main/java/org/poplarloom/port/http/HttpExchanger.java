package org.poplarloom.port.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;

/**
 * An HTTP client that reports each step of an exchange to a listener.
 * <p>
 * A connection carries one exchange at a time and is reused only after a complete
 * response with no data after it. This class is not thread-safe: its methods are called
 * on the event loop, on which the listeners are called too.
 */
public final class HttpExchanger {

	/** The request may be sent whenever the connection is open. */
	public static final long NO_MAX_DELAY = Long.MAX_VALUE;

	/** An endpoint may take any time to read the body of a request. */
	public static final long NO_BODY_STALL_LIMIT = Long.MAX_VALUE;

	/** A read brings as much as Netty chooses. */
	public static final IntSupplier NO_READ_LIMIT = () -> Integer.MAX_VALUE;

	private static final int CONNECT_TIMEOUT_MILLIS = 400;

	/**
	 * How long an idle connection is reused if the endpoint names no timeout: shorter
	 * than the idle timeout of every such endpoint observed.
	 */
	static final long DEFAULT_KEEP_ALIVE_MILLIS = 4_000;

	private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 500;

	private static final int MAX_INITIAL_LINE_BYTES = 8_192;

	private static final int MAX_HEADER_BYTES = 65_536;

	private static final int MAX_CHUNK_BYTES = 65_536;

	static final HttpDecoderConfig DECODER_LIMITS = new HttpDecoderConfig()
		.setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
		.setMaxHeaderSize(MAX_HEADER_BYTES)
		.setMaxChunkSize(MAX_CHUNK_BYTES);

	private final EventLoop loop;

	private final Map<String, Deque<HttpConnection>> idle = new HashMap<>();

	private final long bodyStallMillis;

	private final IntSupplier maxReadBytes;

	private final Connector connector;

	private long openedConnections;

	private long connectionsWithUnexpectedData;

	public HttpExchanger(EventLoop loop) {
		this(loop, Connector.DIRECT);
	}

	/**
	 * Creates a client without limits.
	 * @param loop the event loop
	 * @param connector opens the connections
	 */
	public HttpExchanger(EventLoop loop, Connector connector) {
		this(loop, connector, NO_BODY_STALL_LIMIT, NO_READ_LIMIT);
	}

	/**
	 * Creates a client that gives up endpoints that do not read, and limits its reads.
	 * @param loop the event loop
	 * @param connector opens the connections
	 * @param bodyStallMillis how long an endpoint may read nothing of a body before the
	 * exchange fails, in milliseconds, or {@link #NO_BODY_STALL_LIMIT}
	 * @param maxReadBytes supplies the most that the next read of a connection may bring,
	 * in bytes, or {@link #NO_READ_LIMIT}
	 */
	public HttpExchanger(EventLoop loop, Connector connector, long bodyStallMillis, IntSupplier maxReadBytes) {
		this.loop = loop;
		this.connector = connector;
		this.bodyStallMillis = bodyStallMillis;
		this.maxReadBytes = maxReadBytes;
		loop.scheduleWithFixedDelay(this::closeExpired, EXPIRY_CHECK_INTERVAL_MILLIS, EXPIRY_CHECK_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Starts an exchange, on an idle connection if there is one.
	 * @param address the host and port
	 * @param request the request, which is released once it is sent or has failed
	 * @param listener receives the events of the exchange
	 * @return the exchange
	 */
	public Exchange send(String address, FullHttpRequest request, ExchangeListener listener) {
		return send(address, request, NO_MAX_DELAY, listener);
	}

	/**
	 * Starts an exchange, on an idle connection if there is one, unless the request
	 * cannot be sent soon.
	 * @param address the host and port
	 * @param request the request, which is released once it is sent or has failed
	 * @param maxDelayMillis the time after which the request is not sent any more, in
	 * milliseconds, or {@link #NO_MAX_DELAY}
	 * @param listener receives the events of the exchange
	 * @return the exchange
	 */
	public Exchange send(String address, FullHttpRequest request, long maxDelayMillis, ExchangeListener listener) {
		HttpConnection idleConnection = takeIdle(address);
		if (idleConnection != null) {
			return idleConnection.start(request, listener);
		}
		return sendOnNewConnection(address, request, maxDelayMillis, listener);
	}

	private HttpConnection takeIdle(String address) {
		Deque<HttpConnection> connections = this.idle.get(address);
		while (connections != null && !connections.isEmpty()) {
			HttpConnection connection = connections.pollLast();
			if (connection.isReusable(System.nanoTime())) {
				return connection;
			}
			connection.close();
		}
		return null;
	}

	/**
	 * Starts an exchange on a new connection, which cannot deliver the response to an
	 * earlier request.
	 * @param address the host and port
	 * @param request the request, which is released once it is sent or has failed
	 * @param listener receives the events of the exchange
	 * @return the exchange
	 */
	public Exchange sendOnNewConnection(String address, FullHttpRequest request, ExchangeListener listener) {
		return sendOnNewConnection(address, request, NO_MAX_DELAY, listener);
	}

	/**
	 * Starts an exchange on a new connection, which cannot deliver the response to an
	 * earlier request, unless the request cannot be sent soon.
	 * @param address the host and port
	 * @param request the request, which is released once it is sent or has failed
	 * @param maxDelayMillis the time after which the request is not sent any more, in
	 * milliseconds, or {@link #NO_MAX_DELAY}
	 * @param listener receives the events of the exchange
	 * @return the exchange
	 */
	public Exchange sendOnNewConnection(String address, FullHttpRequest request, long maxDelayMillis,
			ExchangeListener listener) {
		HttpConnection connection = new HttpConnection(this, address);
		Exchange exchange = connection.startWhenConnected(request, maxDelayMillis, listener);
		connect(connection, connection::handleConnectFailure);
		return exchange;
	}

	/**
	 * Opens a connection that stays idle until it is used.
	 * @param address the host and port
	 * @param onResult receives whether the connection is open
	 */
	public void open(String address, Consumer<Boolean> onResult) {
		HttpConnection connection = new HttpConnection(this, address);
		connection.idleWhenConnected(() -> onResult.accept(true));
		connect(connection, (cause) -> onResult.accept(false));
	}

	private void connect(HttpConnection connection, Consumer<Throwable> onFailure) {
		String address = connection.address();
		InetSocketAddress endpointAddress;
		try {
			int colon = address.lastIndexOf(':');
			endpointAddress = new InetSocketAddress(address.substring(0, colon),
					Integer.parseInt(address.substring(colon + 1)));
		}
		catch (IllegalArgumentException | IndexOutOfBoundsException ex) {
			// The listener expects events only after this method has returned.
			this.loop.execute(() -> onFailure.accept(ex));
			return;
		}
		this.openedConnections++;
		Bootstrap bootstrap = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					if (HttpExchanger.this.maxReadBytes != NO_READ_LIMIT) {
						channel.config().setRecvByteBufAllocator(new LimitedReads(HttpExchanger.this.maxReadBytes));
					}
					channel.pipeline().addLast(new HttpRequestEncoder(), connection.decoder(), connection);
				}

			});
		this.connector.connect(bootstrap, endpointAddress).addListener((result) -> {
			if (!result.isSuccess()) {
				onFailure.accept(result.cause());
			}
		});
	}

	void addIdle(HttpConnection connection) {
		this.idle.computeIfAbsent(connection.address(), (key) -> new ArrayDeque<>()).addLast(connection);
	}

	void removeIdle(HttpConnection connection) {
		Deque<HttpConnection> connections = this.idle.get(connection.address());
		if (connections != null) {
			connections.remove(connection);
		}
	}

	/**
	 * Closes the idle connections to an address, for a caller that got no response from
	 * it: what has silenced one connection has often silenced all that were open.
	 * @param address the host and port
	 */
	public void closeIdle(String address) {
		Deque<HttpConnection> connections = this.idle.remove(address);
		if (connections != null) {
			connections.forEach(HttpConnection::close);
		}
	}

	private void closeExpired() {
		long now = System.nanoTime();
		Iterator<Deque<HttpConnection>> iterator = this.idle.values().iterator();
		while (iterator.hasNext()) {
			Deque<HttpConnection> connections = iterator.next();
			while (!connections.isEmpty() && !connections.peekFirst().isReusable(now)) {
				connections.pollFirst().close();
			}
			if (connections.isEmpty()) {
				iterator.remove();
			}
		}
	}

	/**
	 * Returns how many connections this client has started to open.
	 * @return the count, from 0
	 */
	public long openedConnections() {
		return this.openedConnections;
	}

	long bodyStallMillis() {
		return this.bodyStallMillis;
	}

	void countUnexpectedData() {
		this.connectionsWithUnexpectedData++;
	}

	/**
	 * Returns how many idle connections were closed because data arrived on them.
	 * @return the count, from 0
	 */
	public long connectionsWithUnexpectedData() {
		return this.connectionsWithUnexpectedData;
	}

	/**
	 * An exchange in progress. Its methods are called on the event loop.
	 */
	public interface Exchange {

		/**
		 * Cancels the exchange and resets its connection, so that what the endpoint has
		 * not received yet does not arrive later; the listener is not called any more.
		 */
		void cancel();

		/**
		 * Pauses or resumes reading the response, for backpressure.
		 * @param isReading whether to read
		 */
		void setAutoRead(boolean isReading);

		/**
		 * Returns how long ago the connection was opened, also after its end.
		 * @return the time in milliseconds, 0 if it was not opened
		 */
		long connectionAgeMillis();

	}

	/**
	 * Thrown when an exchange fails before the response is complete. This class is
	 * immutable and thread-safe.
	 */
	public static final class ExchangeException extends IOException {

		private final boolean isSent;

		private final boolean isConnectionLost;

		ExchangeException(String message, boolean isSent, boolean isConnectionLost, Throwable cause) {
			super(message, cause);
			this.isSent = isSent;
			this.isConnectionLost = isConnectionLost;
		}

		/**
		 * Returns whether the endpoint or the network has ended the connection.
		 * @return false if it was closed here, for a response that cannot be read
		 */
		public boolean isConnectionLost() {
			return this.isConnectionLost;
		}

		/**
		 * Returns whether the endpoint may have received the request.
		 * @return false if no byte of the request was written
		 */
		public boolean isSent() {
			return this.isSent;
		}

		/**
		 * Returns whether the endpoint's host did not respond while the connection was
		 * opened.
		 * @return true if opening the connection has timed out
		 */
		public boolean isConnectTimeout() {
			return getCause() instanceof ConnectTimeoutException;
		}

	}

}
