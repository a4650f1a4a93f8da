package org.poplarloom.entry.process;

/**
 * A task that may be requested before it is known, and is then run once it is.
 * <p>
 * No request is lost, and several of them before that count as one. This class is
 * thread-safe.
 */
public final class DeferredTask implements Runnable {

	private Runnable task;

	private boolean requested;

	/**
	 * Sets the task, and runs it if it was requested before.
	 * @param known the task, not null
	 */
	public synchronized void set(Runnable known) {
		this.task = known;
		if (this.requested) {
			this.requested = false;
			known.run();
		}
	}

	@Override
	public synchronized void run() {
		if (this.task != null) {
			this.task.run();
		}
		else {
			this.requested = true;
		}
	}

}
