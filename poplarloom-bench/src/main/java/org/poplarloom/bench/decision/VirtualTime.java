package org.poplarloom.bench.decision;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs tasks in the order of their times without waiting.
 * <p>
 * Tasks at the same time run in the order in which they were added, so that a run can be
 * repeated exactly. This class is not thread-safe.
 */
public final class VirtualTime {

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingDouble(Task::atMillis).thenComparingLong(Task::sequence));

	private double nowMillis;

	private long nextSequence;

	/**
	 * Returns the time.
	 * @return milliseconds since the start
	 */
	public double now() {
		return this.nowMillis;
	}

	/**
	 * Returns the time as whole milliseconds.
	 * @return milliseconds since the start
	 */
	public long nowMillis() {
		return (long) this.nowMillis;
	}

	/**
	 * Runs a task later.
	 * @param delayMillis milliseconds from now
	 * @param task the task
	 */
	public void after(double delayMillis, Runnable task) {
		this.tasks.add(new Task(this.nowMillis + delayMillis, this.nextSequence++, task));
	}

	/**
	 * Runs a task again and again.
	 * @param periodMillis milliseconds between two runs
	 * @param task the task
	 */
	public void every(double periodMillis, Runnable task) {
		after(periodMillis, () -> {
			task.run();
			every(periodMillis, task);
		});
	}

	/**
	 * Runs all tasks up to a time.
	 * @param untilMillis milliseconds since the start
	 */
	public void runUntil(double untilMillis) {
		while (!this.tasks.isEmpty() && this.tasks.peek().atMillis() <= untilMillis) {
			Task task = this.tasks.poll();
			this.nowMillis = task.atMillis();
			task.action().run();
		}
		this.nowMillis = untilMillis;
	}

	/**
	 * A task and its time.
	 */
	private record Task(double atMillis, long sequence, Runnable action) {
	}

}
