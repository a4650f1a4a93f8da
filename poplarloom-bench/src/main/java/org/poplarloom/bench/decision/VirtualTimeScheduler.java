package org.poplarloom.bench.decision;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs scheduled tasks in the order of their due times and advances a virtual clock to
 * each due time instead of waiting.
 * <p>
 * Tasks with the same due time run in the order in which they were scheduled, so that a
 * simulation is repeatable. This class is not thread-safe.
 */
public final class VirtualTimeScheduler {

	private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
			Comparator.comparingDouble(ScheduledTask::dueMillis).thenComparingLong(ScheduledTask::sequence));

	private double nowMillis;

	private long nextSequence;

	/**
	 * Returns the virtual time with fractions of a millisecond.
	 * @return milliseconds since the start
	 */
	public double nowExactMillis() {
		return this.nowMillis;
	}

	/**
	 * Returns the virtual time, rounded down to a millisecond.
	 * @return milliseconds since the start
	 */
	public long nowMillis() {
		return (long) this.nowMillis;
	}

	/**
	 * Schedules a task to run once.
	 * @param delayMillis the delay from now in milliseconds
	 * @param task the task
	 */
	public void scheduleAfter(double delayMillis, Runnable task) {
		this.tasks.add(new ScheduledTask(this.nowMillis + delayMillis, this.nextSequence++, task));
	}

	/**
	 * Schedules a task to run periodically, the first time after one period.
	 * @param periodMillis the time between two runs in milliseconds
	 * @param task the task
	 */
	public void scheduleEvery(double periodMillis, Runnable task) {
		scheduleAfter(periodMillis, () -> {
			task.run();
			scheduleEvery(periodMillis, task);
		});
	}

	/**
	 * Runs all tasks that are due up to a time and advances the clock to that time.
	 * @param untilMillis the end, in milliseconds since the start
	 */
	public void runUntil(double untilMillis) {
		while (!this.tasks.isEmpty() && this.tasks.peek().dueMillis() <= untilMillis) {
			ScheduledTask task = this.tasks.poll();
			this.nowMillis = task.dueMillis();
			task.action().run();
		}
		this.nowMillis = untilMillis;
	}

	/**
	 * A task with its due time and the order in which it was scheduled.
	 */
	private record ScheduledTask(double dueMillis, long sequence, Runnable action) {
	}

}
