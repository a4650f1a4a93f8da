package org.poplarloom.wire.process;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.InstanceId;
import org.poplarloom.wire.connection.PeerConnection;
import org.poplarloom.wire.connection.PeerFrames;
import org.poplarloom.wire.connection.PeerHandler;
import org.poplarloom.wire.connection.PeerKey;
import org.poplarloom.wire.connection.PeerTraffic;
import org.poplarloom.wire.connection.ReplyListener;
import org.poplarloom.wire.connection.ReplyStream;
import org.poplarloom.wire.message.Message;

/**
 * The listening socket for peers and the pool of connections to peers.
 * <p>
 * New messages to an address go over one connection; a failed or closed one is replaced
 * at the next use, and one on which the peer has fallen silent at the next check. What
 * the silent one owes is awaited beside the new one, until that has proved that the peer
 * itself is alive. Every request completes or fails within its timeout, whatever the peer
 * does. This class is thread-safe.
 */
public final class PeerNetwork implements PeerTransport {

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK = new WriteBufferWaterMark(1024 * 1024,
			4 * 1024 * 1024);

	/** The rest waits for the next check, so that a peer is not overrun. */
	private static final int MAX_REPLACED_PER_CHECK = 16;

	/** A slow peer is not kept busy with handshakes. */
	private static final long MIN_REPLACEMENT_INTERVAL_MILLIS = 3_000;

	private static final Logger logger = LoggerFactory.getLogger(PeerNetwork.class);

	private final InstanceId self;

	private final PeerKey key;

	private final PeerHandler handler;

	private final PeerTraffic traffic = new PeerTraffic();

	private final EventLoopGroup group;

	private final BoundedConnections unauthenticated;

	private final long handshakeTimeoutMillis;

	private final Map<String, CompletableFuture<PeerConnection>> connections = new ConcurrentHashMap<>();

	private final SilentConnections silent = new SilentConnections();

	private Channel listener;

	/**
	 * Creates a network without connections.
	 * @param self this instance
	 * @param key the key that all instances know
	 * @param handler handles the messages of peers
	 * @param group runs the connections and the handler; its owner shuts it down
	 * @param unauthenticated bounds the connections whose peer is not authenticated
	 * @param handshakeTimeoutMillis the time in which a peer must be authenticated, in
	 * milliseconds
	 */
	public PeerNetwork(InstanceId self, PeerKey key, PeerHandler handler, EventLoopGroup group,
			BoundedConnections unauthenticated, long handshakeTimeoutMillis) {
		this.group = group;
		this.self = self;
		this.key = key;
		this.handler = handler;
		this.unauthenticated = unauthenticated;
		this.handshakeTimeoutMillis = handshakeTimeoutMillis;
	}

	@Override
	public int listen(String host, int port) {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					PeerConnection connection = newConnection(true);
					addHandlers(channel.pipeline(), connection);
					PeerNetwork.this.unauthenticated.add(channel);
					closeUnlessAuthenticated(channel, connection);
				}

			});
		this.listener = bootstrap.bind(host, port).syncUninterruptibly().channel();
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	private void closeUnlessAuthenticated(Channel channel, PeerConnection connection) {
		Future<?> timer = channel.eventLoop()
			.schedule(() -> channel.close(), this.handshakeTimeoutMillis, TimeUnit.MILLISECONDS);
		connection.authenticated().whenComplete((authenticated, failure) -> {
			timer.cancel(false);
			this.unauthenticated.remove(channel);
		});
	}

	private PeerConnection newConnection(boolean isServer) {
		return new PeerConnection(this.self, this.key, this.handler, this.traffic, isServer);
	}

	private static void addHandlers(ChannelPipeline pipeline, PeerConnection connection) {
		pipeline.addLast(PeerFrames.NAME, PeerFrames.ofHandshake());
		pipeline.addLast(PeerFrames.newPrepender());
		pipeline.addLast(connection);
	}

	@Override
	public void send(String address, Message message) {
		connect(address).thenAccept((connection) -> connection.send(message));
	}

	@Override
	public CompletableFuture<Message> request(String address, Message message, long timeoutMillis) {
		return connect(address).thenCompose((connection) -> connection.request(message, timeoutMillis))
			.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
	}

	@Override
	public ReplyStream open(String address, Message message, ReplyListener listener) {
		PendingStream stream = new PendingStream();
		connect(address).whenComplete((connection, failure) -> {
			if (failure == null) {
				stream.open(connection, message, listener);
			}
			else if (!stream.isClosed()) {
				listener.disconnected(false, failure);
			}
		});
		return stream;
	}

	private CompletableFuture<PeerConnection> connect(String address) {
		CompletableFuture<PeerConnection> existing = this.connections.get(address);
		if (existing != null && !isFailedOrClosed(existing)) {
			return existing;
		}
		return this.connections.compute(address,
				(key, current) -> (current != null && !isFailedOrClosed(current)) ? current : open(address));
	}

	private static boolean isFailedOrClosed(CompletableFuture<PeerConnection> connection) {
		return connection.isDone() && (connection.isCompletedExceptionally() || !connection.join().isOpen());
	}

	private CompletableFuture<PeerConnection> open(String address) {
		PeerConnection connection = newConnection(false);
		InetSocketAddress peerAddress;
		try {
			int colon = address.lastIndexOf(':');
			peerAddress = new InetSocketAddress(address.substring(0, colon),
					Integer.parseInt(address.substring(colon + 1)));
		}
		catch (IllegalArgumentException | IndexOutOfBoundsException ex) {
			return CompletableFuture.failedFuture(ex);
		}
		new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
			.handler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					addHandlers(channel.pipeline(), connection);
					closeUnlessAuthenticated(channel, connection);
				}

			})
			.connect(peerAddress)
			.addListener((result) -> {
				if (!result.isSuccess()) {
					connection.authenticated().completeExceptionally(result.cause());
				}
			});
		return connection.authenticated();
	}

	@Override
	public void replaceSilentConnections() {
		this.silent.closeUnneeded();
		int replaced = 0;
		for (Map.Entry<String, CompletableFuture<PeerConnection>> entry : this.connections.entrySet()) {
			CompletableFuture<PeerConnection> current = entry.getValue();
			if (!current.isDone() || isFailedOrClosed(current)) {
				continue;
			}
			PeerConnection connection = current.join();
			connection.pingIfSilent();
			if (connection.isSilent() && replaced < MAX_REPLACED_PER_CHECK && this.silent.mayReplace(entry.getKey())) {
				replaced++;
				replace(entry.getKey(), current);
			}
		}
	}

	private void replace(String address, CompletableFuture<PeerConnection> current) {
		logger.info("peer={} event=silent awaited={}", address, current.join().isAwaited());
		CompletableFuture<PeerConnection> next = open(address);
		if (this.connections.replace(address, current, next)) {
			this.silent.add(address, current.join(), next);
		}
		else {
			next.thenAccept(PeerConnection::close);
		}
	}

	@Override
	public PeerTraffic traffic() {
		return this.traffic;
	}

	@Override
	public void close() {
		if (this.listener != null) {
			this.listener.close();
		}
		this.connections.values().forEach((connection) -> connection.thenAccept(PeerConnection::close));
		this.silent.closeAll();
	}

	/**
	 * Connections on which the peer has fallen silent, and which have been replaced. This
	 * class is thread-safe; its own lock guards it.
	 */
	private static final class SilentConnections {

		private final List<Replaced> replaced = new ArrayList<>();

		private final Map<String, Long> replacedNanos = new HashMap<>();

		synchronized boolean mayReplace(String address) {
			Long last = this.replacedNanos.get(address);
			return last == null
					|| System.nanoTime() - last >= TimeUnit.MILLISECONDS.toNanos(MIN_REPLACEMENT_INTERVAL_MILLIS);
		}

		void add(String address, PeerConnection connection, CompletableFuture<PeerConnection> next) {
			synchronized (this) {
				this.replaced.add(new Replaced(connection, next));
				this.replacedNanos.put(address, System.nanoTime());
			}
			next.whenComplete((opened, failure) -> closeUnneeded());
		}

		// A peer that answers on a new connection would have answered on the old one.
		void closeUnneeded() {
			List<PeerConnection> unneeded = new ArrayList<>();
			synchronized (this) {
				this.replacedNanos.keySet().removeIf(this::mayReplace);
				for (Replaced entry : List.copyOf(this.replaced)) {
					PeerConnection connection = entry.connection();
					boolean isAlive = entry.next().isDone() && !entry.next().isCompletedExceptionally();
					if (!connection.isOpen() || !connection.isAwaited() || (isAlive && connection.isSilent())) {
						this.replaced.remove(entry);
						unneeded.add(connection);
					}
				}
			}
			unneeded.forEach(PeerConnection::close);
		}

		synchronized void closeAll() {
			this.replaced.forEach((entry) -> entry.connection().close());
			this.replaced.clear();
		}

		/**
		 * A connection and the one that new messages use.
		 */
		private record Replaced(PeerConnection connection, CompletableFuture<PeerConnection> next) {
		}

	}

	/**
	 * The replies to a message that may still have to wait for its connection. This class
	 * is thread-safe; its own lock guards it.
	 */
	private static final class PendingStream implements ReplyStream {

		private Runnable onClose;

		private boolean closed;

		synchronized void open(PeerConnection connection, Message message, ReplyListener listener) {
			if (!this.closed) {
				this.onClose = connection.open(message, listener);
			}
		}

		synchronized boolean isClosed() {
			return this.closed;
		}

		@Override
		public synchronized boolean closeUnlessSent() {
			this.closed |= this.onClose == null;
			return this.closed && this.onClose == null;
		}

		@Override
		public synchronized void close() {
			this.closed = true;
			if (this.onClose != null) {
				this.onClose.run();
			}
		}

	}

}
