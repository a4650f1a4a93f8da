package org.poplarloom.entry.process;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

import org.poplarloom.entry.Settings;
import org.poplarloom.wire.connection.PeerHandler;
import org.poplarloom.wire.connection.PeerKey;
import org.poplarloom.wire.process.BoundedConnections;
import org.poplarloom.wire.process.PeerNetwork;
import org.poplarloom.wire.process.PeerTransport;

/**
 * What a node runs on: threads, time and the transport to its peers. This class is
 * immutable and thread-safe.
 *
 * @param tasks runs the periodic tasks
 * @param clock the source of the time
 * @param transport creates the transport for a handler of messages
 * @param closeAction ends the threads that only the node uses
 */
public record NodeRuntime(ScheduledExecutorService tasks, Clock clock, Function<PeerHandler, PeerTransport> transport,
		Runnable closeAction) implements AutoCloseable {

	private static final int TASK_THREADS = 2;

	private static final int CONNECTION_THREADS = 2;

	/**
	 * Without a quiet period, an event loop that is busy when it is shut down ends
	 * without closing its channels.
	 */
	private static final long SHUTDOWN_QUIET_MILLIS = 1;

	private static final long MAX_SHUTDOWN_MILLIS = 1_000;

	/**
	 * Returns new threads that only the node uses.
	 * @param settings the settings
	 * @return the runtime
	 */
	public static NodeRuntime dedicated(Settings settings) {
		ScheduledExecutorService tasks = Executors.newScheduledThreadPool(TASK_THREADS, (task) -> {
			Thread thread = new Thread(task, "loop");
			thread.setDaemon(true);
			return thread;
		});
		EventLoopGroup connections = new MultiThreadIoEventLoopGroup(CONNECTION_THREADS,
				new DefaultThreadFactory("peer", true), NioIoHandler.newFactory());
		return new NodeRuntime(tasks, Clock.steady(), (handler) -> network(settings, handler, connections), () -> {
			tasks.shutdownNow();
			shutDown(connections);
		});
	}

	/**
	 * Returns an event loop that the node shares with the rest of the process. On an
	 * instance with a single core this saves the switches between threads.
	 * @param settings the settings
	 * @param group the event loop, which its owner shuts down after it has closed the
	 * node
	 * @return the runtime
	 */
	public static NodeRuntime shared(Settings settings, EventLoopGroup group) {
		return new NodeRuntime(group, Clock.steady(), (handler) -> network(settings, handler, group), () -> {
		});
	}

	/**
	 * Closes all channels of event loops and ends their threads; does not wait for it.
	 * @param group the event loops
	 */
	static void shutDown(EventLoopGroup group) {
		group.shutdownGracefully(SHUTDOWN_QUIET_MILLIS, MAX_SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS);
	}

	private static PeerTransport network(Settings settings, PeerHandler handler, EventLoopGroup group) {
		Settings.Connections connections = settings.connections();
		return new PeerNetwork(settings.instance(), PeerKey.of(settings.peerKey()), handler, group,
				new BoundedConnections(connections.maxUnauthenticatedPeers()), connections.timeoutMillis());
	}

	@Override
	public void close() {
		this.closeAction.run();
	}

}
