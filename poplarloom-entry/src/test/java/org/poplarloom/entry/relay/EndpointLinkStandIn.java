package org.poplarloom.entry.relay;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.util.ReferenceCountUtil;

import org.poplarloom.port.http.Connector;

/**
 * The link of one instance to the endpoints, which a test can cut. The store stays
 * reachable.
 * <p>
 * This class is thread-safe.
 */
final class EndpointLinkStandIn implements Connector {

	private static final long CONNECT_TIMEOUT_MILLIS = 400;

	private final String storeAddress;

	private final Set<Channel> channels = ConcurrentHashMap.newKeySet();

	private volatile State state = State.SOUND;

	private volatile int refusedCount;

	/**
	 * Creates a link that is sound.
	 * @param storeAddress the host and port of the store
	 */
	EndpointLinkStandIn(String storeAddress) {
		this.storeAddress = storeAddress;
	}

	/**
	 * Cuts or heals the link. Connections that have fallen silent stay so.
	 * @param newState what becomes of connections from now on
	 */
	void set(State newState) {
		this.state = newState;
		for (Channel channel : new ArrayList<>(this.channels)) {
			channel.eventLoop().execute(() -> apply(newState, channel));
		}
	}

	private static void apply(State newState, Channel channel) {
		if (newState == State.SILENT || newState == State.ACCEPTED_AND_SILENT) {
			channel.pipeline().addFirst(new Silence());
		}
		else if (newState == State.RESET || newState == State.ACCEPTED_AND_RESET) {
			reset(channel);
		}
	}

	private static void reset(Channel channel) {
		channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
		channel.close();
	}

	// What stands in between has opened the connection, and passes nothing on.
	private void accept(Channel channel) {
		track(channel);
		channel.pipeline().addFirst(new Silence());
		if (this.state != State.ACCEPTED_AND_SILENT) {
			channel.eventLoop().execute(() -> reset(channel));
		}
	}

	/**
	 * Returns how many connections could not be opened.
	 * @return the count since the start
	 */
	int refusedCount() {
		return this.refusedCount;
	}

	@Override
	public ChannelFuture connect(Bootstrap bootstrap, InetSocketAddress address) {
		boolean isStore = this.storeAddress.equals(address.getHostString() + ":" + address.getPort());
		if (isStore || this.state == State.SOUND) {
			ChannelFuture connected = bootstrap.connect(address);
			if (!isStore) {
				connected.addListener((result) -> track(connected.channel()));
			}
			return connected;
		}
		if (this.state.isAccepting()) {
			ChannelFuture connected = bootstrap.connect(address);
			connected.addListener((result) -> accept(connected.channel()));
			return connected;
		}
		this.refusedCount++;
		Channel channel = bootstrap.register().channel();
		ChannelPromise promise = channel.newPromise();
		if (this.state == State.SILENT) {
			channel.eventLoop()
				.schedule(() -> fail(promise, new ConnectTimeoutException("connection timed out: " + address)),
						CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		else {
			channel.eventLoop().execute(() -> fail(promise, new ConnectException("Connection refused: " + address)));
		}
		return promise;
	}

	private static void fail(ChannelPromise promise, IOException cause) {
		promise.setFailure(cause);
		promise.channel().close();
	}

	private void track(Channel channel) {
		this.channels.add(channel);
		channel.closeFuture().addListener((closed) -> this.channels.remove(channel));
	}

	/**
	 * Returns the states in which the instance cannot use new connections.
	 * @return all states but {@link State#SOUND}
	 */
	static List<State> cutStates() {
		return Arrays.stream(State.values()).filter((value) -> value != State.SOUND).toList();
	}

	/**
	 * What becomes of connections to endpoints.
	 */
	enum State {

		/** All work. */
		SOUND,

		/** Nothing passes, and new ones get no answer. */
		SILENT,

		/** Those that are open are reset, new ones are refused. */
		RESET,

		/** Those that are open work, new ones are refused. */
		REFUSED,

		/** Nothing passes, but new ones are opened. */
		ACCEPTED_AND_SILENT,

		/** Those that are open are reset, new ones too, right after they are opened. */
		ACCEPTED_AND_RESET,

		/** Those that are open work, new ones are reset right after they are opened. */
		NEW_RESET;

		private boolean isAccepting() {
			return this == ACCEPTED_AND_SILENT || this == ACCEPTED_AND_RESET || this == NEW_RESET;
		}

	}

	/**
	 * Drops what is sent and received, as if it was lost on the way. It is not
	 * thread-safe; the event loop of its channel guards it.
	 */
	private static final class Silence extends ChannelDuplexHandler {

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) {
			ReferenceCountUtil.release(message);
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			if (!ctx.channel().isOpen()) {
				ctx.fireChannelInactive();
			}
		}

		@Override
		public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
			ReferenceCountUtil.release(message);
			promise.setSuccess();
		}

	}

}
