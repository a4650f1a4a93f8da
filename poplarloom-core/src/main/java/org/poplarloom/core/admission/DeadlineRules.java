package org.poplarloom.core.admission;

import java.util.List;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.request.GrantRequest;

/**
 * Serves requests by deadline, whichever team they belong to; a queued request waits
 * until its client timeout.
 * <p>
 * This class is not thread-safe; its home's lock guards it.
 */
public final class DeadlineRules implements AdmissionRules {

	private final QueueOrder queue;

	/**
	 * Creates the rules with an empty queue.
	 * @param hasLengthClasses whether long prompts have a queue of their own and earlier
	 * deadlines go first; false for first come, first served
	 */
	public DeadlineRules(boolean hasLengthClasses) {
		this.queue = new DeadlineOrder(hasLengthClasses);
	}

	@Override
	public QueueOrder queue() {
		return this.queue;
	}

	@Override
	public void startAt(long nowMillis) {
		// Its estimates do not depend on the time of the start.
	}

	@Override
	public boolean isFirst(GrantRequest request, long nowMillis) {
		return this.queue.isFirst(request, nowMillis);
	}

	@Override
	public void enqueue(InstanceId holder, GrantRequest request, long nowMillis) {
		this.queue.add(holder, request, nowMillis);
	}

	@Override
	public AdmissionRule judge(GrantRequest request, long nowMillis) {
		return AdmissionRule.NONE;
	}

	@Override
	public double waitMillis(GrantRequest request, long nowMillis) {
		return 0;
	}

	@Override
	public long recordRefusal(GrantRequest request, long minMillis, boolean mayQueue, long nowMillis) {
		return minMillis;
	}

	@Override
	public AdmissionRule recordGrant(GrantRequest request, long nowMillis) {
		return AdmissionRule.NONE;
	}

	@Override
	public void recordFirstToken(String key) {
		// Teams are not distinguished.
	}

	@Override
	public void recordRelease(String key, long nowMillis) {
		// Teams are not distinguished.
	}

	@Override
	public List<Unservable> expired(long nowMillis) {
		return this.queue.all()
			.stream()
			.filter((queued) -> queued.request().latencyTarget().firstTokenDeadlineMillis() <= nowMillis)
			.map((queued) -> new Unservable(queued, ErrorCode.DEADLINE_EXCEEDED, AdmissionRule.NONE))
			.toList();
	}

	@Override
	public List<Unservable> unreachable(long nowMillis) {
		return List.of();
	}

	@Override
	public boolean reservesRoom() {
		return false;
	}

	@Override
	public List<TeamUsage> teams() {
		return List.of();
	}

	@Override
	public String describe() {
		return "";
	}

}
