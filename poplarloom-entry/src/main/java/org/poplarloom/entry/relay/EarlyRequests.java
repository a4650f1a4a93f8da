package org.poplarloom.entry.relay;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

/**
 * Requests that arrive before an instance that has just started knows a configuration.
 * <p>
 * After all instances have stopped, callers return before any of them has read the
 * configuration, most of them for the last time. So their requests wait for it, but only
 * shortly after the start: an instance that cannot read a configuration refuses requests
 * at once. Each request is resumed exactly once. This class is not thread-safe; the event
 * loop guards it.
 */
final class EarlyRequests {

	/** The longest wait of a request, in milliseconds. */
	static final long MAX_WAIT_MILLIS = 1_000;

	/**
	 * Time after the start in which requests wait, in milliseconds. An instance reads its
	 * configuration within a few hundred milliseconds if the store or a peer answers.
	 */
	static final long STARTUP_MILLIS = 2_000;

	private final EventLoop loop;

	private final long endNanos;

	private final Set<Runnable> waiting = new LinkedHashSet<>();

	/**
	 * Creates an empty queue.
	 * @param loop the event loop
	 * @param startNanos when the instance started, by the system's nanosecond clock
	 */
	EarlyRequests(EventLoop loop, long startNanos) {
		this.loop = loop;
		this.endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(STARTUP_MILLIS);
	}

	/**
	 * Returns whether the instance has started so recently that requests may wait.
	 * @return false once the startup time is over
	 */
	boolean mayWait() {
		return System.nanoTime() - this.endNanos < 0;
	}

	/**
	 * Keeps a request until a configuration is known or the longest wait is over.
	 * @param resume continues the request in either case
	 */
	void add(Runnable resume) {
		this.waiting.add(resume);
		long remainingNanos = this.endNanos - System.nanoTime();
		this.loop.schedule(() -> resume(resume),
				Math.min(remainingNanos, TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MILLIS)), TimeUnit.NANOSECONDS);
	}

	private void resume(Runnable resume) {
		if (this.waiting.remove(resume)) {
			resume.run();
		}
	}

	/**
	 * Continues all requests, in the order of their arrival.
	 */
	void resumeAll() {
		List<Runnable> ready = new ArrayList<>(this.waiting);
		ready.forEach(this::resume);
	}

}
