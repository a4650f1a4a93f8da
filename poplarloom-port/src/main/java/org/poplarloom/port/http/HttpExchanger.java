package org.poplarloom.port.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;

/**
 * A client that shows how far each exchange has come.
 * <p>
 * A connection carries one exchange at a time and is kept only after a whole answer with
 * nothing behind it. All methods and all listeners run on one event loop. This class is
 * not thread-safe; the event loop guards it.
 */
public final class HttpExchanger {

	/** A connection that is not there by then is not waited for. */
	private static final int CONNECT_TIMEOUT_MILLIS = 400;

	/** Shorter than any time-out seen at endpoints that name none. */
	static final long IDLE_MILLIS = 4_000;

	private static final long SWEEP_MILLIS = 500;

	private static final int LONGEST_LINE = 8_192;

	private static final int LARGEST_HEADERS = 65_536;

	private static final int LARGEST_CHUNK = 65_536;

	private final EventLoop loop;

	private final Map<String, Deque<HttpConnection>> idle = new HashMap<>();

	private long opened;

	public HttpExchanger(EventLoop loop) {
		this.loop = loop;
		loop.scheduleWithFixedDelay(this::closeIdle, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Starts an exchange.
	 * @param address the host and port
	 * @param request the request
	 * @param listener takes what happens
	 * @return the exchange
	 */
	public Exchange send(String address, FullHttpRequest request, ExchangeListener listener) {
		HttpConnection kept = kept(address);
		if (kept != null) {
			return kept.start(request, listener);
		}
		return open(address, request, listener);
	}

	private HttpConnection kept(String address) {
		Deque<HttpConnection> connections = this.idle.get(address);
		while (connections != null && !connections.isEmpty()) {
			HttpConnection connection = connections.pollLast();
			if (connection.isUsable(System.nanoTime())) {
				return connection;
			}
			connection.close();
		}
		return null;
	}

	private Exchange open(String address, FullHttpRequest request, ExchangeListener listener) {
		HttpConnection connection = new HttpConnection(this, address);
		int colon = address.lastIndexOf(':');
		InetSocketAddress target = new InetSocketAddress(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1)));
		Exchange exchange = connection.prepare(request, listener);
		this.opened++;
		new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(LONGEST_LINE, LARGEST_HEADERS, LARGEST_CHUNK), connection);
				}

			})
			.connect(target)
			.addListener((result) -> {
				if (!result.isSuccess()) {
					connection.connectFailed(result.cause());
				}
			});
		return exchange;
	}

	void keep(HttpConnection connection) {
		this.idle.computeIfAbsent(connection.address(), (key) -> new ArrayDeque<>()).addLast(connection);
	}

	void forget(HttpConnection connection) {
		Deque<HttpConnection> connections = this.idle.get(connection.address());
		if (connections != null) {
			connections.remove(connection);
		}
	}

	private void closeIdle() {
		long now = System.nanoTime();
		Iterator<Deque<HttpConnection>> all = this.idle.values().iterator();
		while (all.hasNext()) {
			Deque<HttpConnection> connections = all.next();
			while (!connections.isEmpty() && !connections.peekFirst().isUsable(now)) {
				connections.pollFirst().close();
			}
			if (connections.isEmpty()) {
				all.remove();
			}
		}
	}

	/**
	 * Returns the number of connections that were opened.
	 * @return a number from 0
	 */
	public long opened() {
		return this.opened;
	}

	/**
	 * An exchange in progress.
	 */
	public interface Exchange {

		/**
		 * Ends the exchange and its connection; the listener hears nothing more.
		 */
		void cancel();

		/**
		 * Stops or resumes reading the answer.
		 * @param isReading whether to read
		 */
		void read(boolean isReading);

	}

	/**
	 * An error with the connection before the answer was whole.
	 */
	public static final class ExchangeException extends IOException {

		private final boolean isSent;

		ExchangeException(String message, boolean isSent, Throwable cause) {
			super(message, cause);
			this.isSent = isSent;
		}

		/**
		 * Says whether the endpoint may have received a part of the request.
		 * @return false if no byte was written
		 */
		public boolean isSent() {
			return this.isSent;
		}

	}

}
