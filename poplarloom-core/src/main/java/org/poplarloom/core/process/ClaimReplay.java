package org.poplarloom.core.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Derives which claim may run each order by replaying a claim stream.
 * <p>
 * The first claim in log order holds its idempotency key until it is released; a claim
 * never passes to another claimant. A claim whose release precedes it in the log is void.
 * Instances that have replayed the same records derive the same state. This class is not
 * thread-safe.
 */
public final class ClaimReplay {

	private final Map<String, State> states = new HashMap<>();

	private final Set<String> released = new HashSet<>();

	private long nextOffset;

	/**
	 * Applies the next record of the stream.
	 * @param offset the record's offset; records below the next offset are ignored
	 * @param claim the record
	 */
	public void apply(long offset, ClaimRecord claim) {
		if (offset < this.nextOffset) {
			return;
		}
		this.nextOffset = offset + 1;
		State state = this.states.get(claim.key());
		boolean isKeyHolder = state != null && state.claim().claimId().equals(claim.claimId());
		switch (claim.kind()) {
			case CLAIM -> applyClaim(claim, state);
			case OUTCOME -> {
				if (isKeyHolder) {
					this.states.put(claim.key(), new State(claim, true));
				}
			}
			case RELEASE -> {
				this.released.add(claim.claimId());
				if (isKeyHolder && !state.hasOutcome()) {
					this.states.remove(claim.key());
				}
			}
		}
	}

	private void applyClaim(ClaimRecord claim, State state) {
		if (state == null && !this.released.contains(claim.claimId())) {
			this.states.put(claim.key(), new State(claim, false));
		}
	}

	/**
	 * Returns the offset of the next record to read.
	 * @return an offset from 0
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns whether a claim holds its key, so that its claimant may run the order.
	 * @param claim the claim
	 * @return true if it was first and has neither an outcome nor a release
	 */
	public boolean isKeyHolder(ClaimRecord claim) {
		State state = this.states.get(claim.key());
		return state != null && !state.hasOutcome() && state.claim().claimId().equals(claim.claimId());
	}

	/**
	 * Returns the state of a key.
	 * @param key the team and the idempotency key
	 * @return the state, or null if no claim holds the key
	 */
	public State state(String key) {
		return this.states.get(key);
	}

	/**
	 * The state of a key.
	 *
	 * @param claim the claim that holds the key, or its outcome if the order is done
	 * @param isDone whether the order has an outcome
	 */
	public record State(ClaimRecord claim, boolean hasOutcome) {
	}

}
