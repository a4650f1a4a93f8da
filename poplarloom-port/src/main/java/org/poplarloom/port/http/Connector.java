package org.poplarloom.port.http;

import java.net.InetSocketAddress;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;

/**
 * Opens the connections of an {@link HttpExchanger}.
 * <p>
 * Implementations need not be thread-safe: all calls come from one event loop.
 */
@FunctionalInterface
public interface Connector {

	/** Opens each connection directly. */
	Connector DIRECT = Bootstrap::connect;

	/**
	 * Opens a connection.
	 * @param bootstrap the options and handlers of the connection
	 * @param address where to connect to
	 * @return completes when the connection is open or cannot be opened
	 */
	ChannelFuture connect(Bootstrap bootstrap, InetSocketAddress address);

}
