package org.poplarloom.entry.relay;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseStatus;

import org.poplarloom.core.version.RoutingTable;
import org.poplarloom.entry.Settings;
import org.poplarloom.port.relay.CallerProtocol;
import org.poplarloom.wire.process.BoundedConnections;

/**
 * Listens for callers, for the load balancer's health checks and for reads of the
 * metrics.
 * <p>
 * This class is not thread-safe; after the start the event loop guards it.
 */
public final class CallerServer {

	private static final int MAX_INITIAL_LINE_BYTES = 8_192;

	private static final int MAX_CHUNK_BYTES = 65_536;

	/**
	 * Ends headers that never end. The limit in force is lower and applies to each
	 * request, since a codec keeps its limit as long as the connection is open.
	 */
	private static final int MAX_HEADER_BYTES = 128 * 1024;

	private static final int ACCEPT_BACKLOG = 1_024;

	/**
	 * What a connection holds unwritten where answers are buffered: with the defaults of
	 * 32 and 64 KB, 200 callers that do not read would hold 13 MB outside of the buffers.
	 */
	private static final WriteBufferWaterMark BUFFERED_WATER_MARK = new WriteBufferWaterMark(4 * 1024, 16 * 1024);

	private final EventLoopGroup group;

	private final CallerProtocol protocol;

	private final RelayService relay;

	private final Supplier<RoutingTable.CallerLimits> limits;

	/** Heads of requests that are not complete. */
	private final IncomingBodies incomingHeads;

	private final Set<CallerConnection> connections = new HashSet<>();

	private final BoundedConnections callers;

	private final Settings.Connections bounds;

	private boolean keepAliveDisabled;

	public CallerServer(EventLoopGroup group, CallerProtocol protocol, RelayService relay,
			Supplier<RoutingTable.CallerLimits> limits, Settings.Connections bounds) {
		this.group = group;
		this.protocol = protocol;
		this.relay = relay;
		this.limits = limits;
		this.bounds = bounds;
		this.callers = new BoundedConnections(bounds.maxCallers());
		this.incomingHeads = IncomingBodies.ofBudget(relay.memory().capacityBytes(), relay::nowMillis);
		if (relay.answerBuffers().hasRoomForAny()) {
			group.next()
				.scheduleWithFixedDelay(relay.answerBuffers()::serveTurns, AnswerBuffers.TURN_INTERVAL_MILLIS,
						AnswerBuffers.TURN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Starts to listen for callers.
	 * @param address the host and port, 0 for any free port
	 * @return the host and the port that the socket is bound to
	 */
	public String listenForCallers(String address) {
		return bind(address, new ChannelInitializer<SocketChannel>() {

			@Override
			protected void initChannel(SocketChannel channel) {
				CallerConnection connection = new CallerConnection(CallerServer.this, CallerServer.this.protocol,
						CallerServer.this.relay);
				if (CallerServer.this.relay.answerBuffers().hasRoomForAny()) {
					channel.config().setWriteBufferWaterMark(BUFFERED_WATER_MARK);
				}
				// The system would enlarge it to some megabytes for each caller that does
				// not read.
				channel.config().setSendBufferSize(CallerServer.this.relay.node().settings().load().sendBufferBytes());
				int headerBytes = Math.max(MAX_HEADER_BYTES, limits().headerBytes());
				HttpDecoderConfig codecLimits = new HttpDecoderConfig().setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
					.setMaxHeaderSize(headerBytes)
					.setMaxChunkSize(MAX_CHUNK_BYTES);
				channel.pipeline().addLast(new CallerCodec(codecLimits, connection), connection);
				CallerServer.this.callers.add(channel);
			}

		});
	}

	/**
	 * Starts to answer readiness checks of the load balancer.
	 * @param address the host and port, 0 for any free port
	 * @param readiness supplies the reason why the instance is not ready, empty if it is
	 * ready
	 * @return the host and the port that the socket is bound to
	 */
	public String listenReadiness(String address, Supplier<String> readiness) {
		return listenText(address, () -> {
			String reason = readiness.get();
			HttpResponseStatus status = reason.isEmpty() ? HttpResponseStatus.OK
					: HttpResponseStatus.SERVICE_UNAVAILABLE;
			return new TextHandler.Text(status, reason);
		});
	}

	/**
	 * Starts to serve the metrics.
	 * @param address the host and port, 0 for any free port
	 * @param metrics the metrics
	 * @return the host and the port that the socket is bound to
	 */
	public String listenMetrics(String address, RelayMetrics metrics) {
		return listenText(address, () -> new TextHandler.Text(HttpResponseStatus.OK, metrics.toText()));
	}

	private String listenText(String address, Supplier<TextHandler.Text> text) {
		BoundedConnections readers = new BoundedConnections(this.bounds.maxTextConnections());
		long timeoutMillis = this.bounds.timeoutMillis();
		return bind(address, new ChannelInitializer<SocketChannel>() {

			@Override
			protected void initChannel(SocketChannel channel) {
				channel.pipeline().addLast(new TextHandler(text, timeoutMillis));
				readers.add(channel);
			}

		});
	}

	private String bind(String address, ChannelInitializer<SocketChannel> initializer) {
		int colon = address.lastIndexOf(':');
		String host = address.substring(0, colon);
		InetSocketAddress localAddress = new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
		Channel server = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(initializer)
			.bind(localAddress)
			.syncUninterruptibly()
			.channel();
		return host + ":" + ((InetSocketAddress) server.localAddress()).getPort();
	}

	void add(CallerConnection connection) {
		this.connections.add(connection);
	}

	void remove(CallerConnection connection) {
		this.connections.remove(connection);
	}

	/**
	 * Returns the bound of the connections of callers.
	 * @return the connections that are open
	 */
	public BoundedConnections callers() {
		return this.callers;
	}

	IncomingBodies incomingHeads() {
		return this.incomingHeads;
	}

	RoutingTable.CallerLimits limits() {
		return this.limits.get();
	}

	/**
	 * Applies limits that have changed to the connections that are open.
	 */
	public void applyLimits() {
		Set.copyOf(this.connections).forEach(CallerConnection::applyLimits);
	}

	boolean isKeepAliveDisabled() {
		return this.keepAliveDisabled;
	}

	/**
	 * Closes each caller's connection after its current answer instead of keeping it
	 * open.
	 */
	public void disableKeepAlive() {
		this.keepAliveDisabled = true;
	}

	/**
	 * Returns the number of requests in progress, including those whose response is not
	 * written completely.
	 * @return the number, 0 or more
	 */
	public long requestsInProgress() {
		return this.connections.stream().filter(CallerConnection::isBusy).count();
	}

}
