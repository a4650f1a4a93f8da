package org.poplarloom.entry.process;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * The threads of a node: those of its periodic tasks and those of its connections to
 * peers. This class is immutable and thread-safe.
 *
 * @param tasks runs the periodic tasks
 * @param connections runs the connections to peers
 * @param isOwned whether closing the node ends the threads
 */
public record NodeThreads(ScheduledExecutorService tasks, EventLoopGroup connections,
		boolean isOwned) implements AutoCloseable {

	private static final int TASK_THREADS = 2;

	private static final int CONNECTION_THREADS = 2;

	/**
	 * Returns new threads that only the node uses.
	 * @return the threads
	 */
	public static NodeThreads dedicated() {
		ScheduledExecutorService tasks = Executors.newScheduledThreadPool(TASK_THREADS, (task) -> {
			Thread thread = new Thread(task, "loop");
			thread.setDaemon(true);
			return thread;
		});
		return new NodeThreads(tasks, new MultiThreadIoEventLoopGroup(CONNECTION_THREADS,
				new DefaultThreadFactory("peer", true), NioIoHandler.newFactory()), true);
	}

	/**
	 * Returns an event loop that the node shares with the rest of the process. On an
	 * instance with a single core this saves the switches between threads.
	 * @param group the event loop, which its owner shuts down after it has closed the
	 * node
	 * @return the threads
	 */
	public static NodeThreads shared(EventLoopGroup group) {
		return new NodeThreads(group, group, false);
	}

	@Override
	public void close() {
		if (this.isOwned) {
			this.tasks.shutdownNow();
			this.connections.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		}
	}

}
