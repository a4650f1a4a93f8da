package org.poplarloom.wire.process;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

import io.netty.channel.Channel;

/**
 * The connections that a port has accepted, up to a bound.
 * <p>
 * Beyond the bound the connection without activity for longest is closed; one that is
 * busy is never closed for another one. This class is thread-safe; its own lock guards
 * it.
 */
public final class BoundedConnections {

	private final int maxCount;

	/** Those that may be closed, the one without activity for longest first. */
	private final Set<Channel> closeable = new LinkedHashSet<>();

	private final Set<Channel> busy = new HashSet<>();

	private long closedCount;

	/**
	 * Creates a bound without connections.
	 * @param maxCount the maximum number of connections, 1 or more
	 */
	public BoundedConnections(int maxCount) {
		if (maxCount < 1) {
			throw new IllegalArgumentException("maxCount must be 1 or more, but was " + maxCount);
		}
		this.maxCount = maxCount;
	}

	/**
	 * Adds a connection until it is closed or removed and closes another one, or this one
	 * if all others are busy, if there are too many.
	 * @param channel the connection
	 */
	public void add(Channel channel) {
		Channel excess;
		synchronized (this) {
			this.closeable.add(channel);
			excess = pollExcess();
		}
		channel.closeFuture().addListener((closed) -> remove(channel));
		if (excess != null) {
			excess.close();
		}
	}

	private Channel pollExcess() {
		if (this.closeable.size() + this.busy.size() <= this.maxCount) {
			return null;
		}
		Iterator<Channel> longestIdle = this.closeable.iterator();
		Channel excess = longestIdle.next();
		longestIdle.remove();
		this.closedCount++;
		return excess;
	}

	/**
	 * Records activity on a connection; one that is busy stays so.
	 * @param channel the connection
	 */
	public synchronized void recordActivity(Channel channel) {
		if (this.closeable.remove(channel)) {
			this.closeable.add(channel);
		}
	}

	/**
	 * Keeps a connection from being closed for another one.
	 * @param channel the connection
	 */
	public synchronized void setBusy(Channel channel) {
		if (this.closeable.remove(channel)) {
			this.busy.add(channel);
		}
	}

	/**
	 * Allows a connection to be closed for another one again.
	 * @param channel the connection
	 */
	public synchronized void setIdle(Channel channel) {
		if (this.busy.remove(channel)) {
			this.closeable.add(channel);
		}
	}

	/**
	 * Removes a connection, which no longer counts.
	 * @param channel the connection
	 */
	public synchronized void remove(Channel channel) {
		this.closeable.remove(channel);
		this.busy.remove(channel);
	}

	/**
	 * Returns the number of connections that were closed for others.
	 * @return the number, 0 or more
	 */
	public synchronized long closedCount() {
		return this.closedCount;
	}

}
