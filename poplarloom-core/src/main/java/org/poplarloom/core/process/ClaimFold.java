package org.poplarloom.core.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Derives from a claim stream who may run each order.
 * <p>
 * The first claim in log order holds a key until its own release; nobody takes a claim
 * over. A claim that was released before it appeared is void. Instances that have read
 * the same records agree. This class is not thread-safe.
 */
public final class ClaimFold {

	private final Map<String, State> states = new HashMap<>();

	private final Set<String> released = new HashSet<>();

	private long nextOffset;

	/**
	 * Applies the next record of the stream.
	 * @param offset the record's offset; one that was applied before is ignored
	 * @param claim the record
	 */
	public void apply(long offset, ClaimRecord claim) {
		if (offset < this.nextOffset) {
			return;
		}
		this.nextOffset = offset + 1;
		State state = this.states.get(claim.key());
		boolean isHolder = state != null && state.claim().claimId().equals(claim.claimId());
		switch (claim.kind()) {
			case CLAIM -> applyClaim(claim, state);
			case OUTCOME -> {
				if (isHolder) {
					this.states.put(claim.key(), new State(claim, true));
				}
			}
			case RELEASE -> {
				this.released.add(claim.claimId());
				if (isHolder && !state.isDone()) {
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
	 * Says whether a claim holds its key and may run the order.
	 * @param claim the claim
	 * @return true if it was first and has neither an outcome nor a release
	 */
	public boolean isWinner(ClaimRecord claim) {
		State state = this.states.get(claim.key());
		return state != null && !state.isDone() && state.claim().claimId().equals(claim.claimId());
	}

	/**
	 * Returns what holds a key.
	 * @param key the team and the idempotency key
	 * @return the state, or null if the key is free
	 */
	public State state(String key) {
		return this.states.get(key);
	}

	/**
	 * What holds a key.
	 *
	 * @param claim the claim, or the outcome if the order is done
	 * @param isDone whether the order has an outcome
	 */
	public record State(ClaimRecord claim, boolean isDone) {
	}

}
