package org.poplarloom.core.process;

/**
 * Decides when an endpoint is polled for a report, and whether it counts as unreachable
 * until then.
 * <p>
 * This class is not thread-safe; its home's lock guards it.
 */
final class PollSchedule {

	private static final long BUSY_POLL_MILLIS = 5_000;

	private static final long IDLE_POLL_MILLIS = 500;

	/**
	 * Time after which an unreachable endpoint is granted again without a new report,
	 * since it may have recovered unnoticed.
	 */
	private static final long MAX_UNREACHABLE_MILLIS = 2_000;

	private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

	private long unreachableSinceMillis = NEVER_MILLIS;

	private long pollStartedMillis = NEVER_MILLIS;

	/**
	 * Returns whether a poll is due, and if so records that it has started.
	 * @param isBusy whether the endpoint is polled less often
	 * @param report the endpoint's last report
	 * @param nowMillis the time in milliseconds
	 * @return true if the last poll is too long ago or the endpoint is unreachable
	 */
	boolean startIfDue(boolean isBusy, EndpointReport report, long nowMillis) {
		long period = isBusy ? BUSY_POLL_MILLIS : IDLE_POLL_MILLIS;
		boolean isDue = isUnreachable(report, nowMillis) || nowMillis - this.pollStartedMillis >= period;
		if (isDue) {
			this.pollStartedMillis = nowMillis;
		}
		return isDue;
	}

	void pollSoon() {
		this.pollStartedMillis = NEVER_MILLIS;
	}

	void markUnreachable(long nowMillis) {
		this.unreachableSinceMillis = nowMillis;
	}

	// The timeout is for an endpoint that reports only changes: without a new report it
	// would stay unreachable for ever.
	boolean isUnreachable(EndpointReport report, long nowMillis) {
		return report.requestedMillis() <= this.unreachableSinceMillis
				&& nowMillis - this.unreachableSinceMillis < MAX_UNREACHABLE_MILLIS;
	}

}
