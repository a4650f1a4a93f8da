package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.request.AnswerPace;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantRequest;

/**
 * What a home has granted on one endpoint.
 * <p>
 * Reserved memory is the sum of the shares held and the requests on the endpoint never
 * exceed its ramp. This class is not thread-safe; its home's lock guards it.
 */
public final class EndpointLedger {

	private static final int REMEMBERED_PREFIXES = 512;

	private static final double MILLIS_PER_SECOND = 1000.0;

	private static final long ORPHAN_GRACE_MILLIS = 3_000;

	private static final long BUSY_POLL_MILLIS = 5_000;

	private static final long IDLE_POLL_MILLIS = 500;

	private static final int SLOW_FIRST_TOKENS_UNTIL_COLD = 3;

	private static final double SLOW_FIRST_TOKEN_RATIO = 4;

	private static final long SLOW_FIRST_TOKEN_MARGIN_MILLIS = 1_000;

	/** After this time an endpoint is tried again, as it may be back unnoticed. */
	private static final long LONGEST_DOUBT_MILLIS = 2_000;

	/** A delayed answer weighs as much as this much longer wait of a long prompt. */
	private static final double DISTURBED_ANSWER_MILLIS = 200;

	private final Map<String, Hold> holds = new HashMap<>();

	private final ReadingBacklog reading = new ReadingBacklog();

	private final Map<String, Long> orphans = new HashMap<>();

	private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	private final ColdStartRamp ramp;

	private EndpointReport report;

	private long reservedKvTokens;

	private int longPrefills;

	private boolean out;

	private boolean isolated;

	private long doubtedMillis = Long.MIN_VALUE / 2;

	private long pollStartedMillis = Long.MIN_VALUE / 2;

	private int slowFirstTokens;

	EndpointLedger(EndpointReport report, ColdStartRamp ramp) {
		this.report = report;
		this.ramp = ramp;
	}

	/**
	 * Returns the endpoint.
	 * @return the endpoint, never null
	 */
	public EndpointId endpoint() {
		return this.report.endpoint();
	}

	/**
	 * Returns the endpoint's last report.
	 * @return the report, never null
	 */
	public EndpointReport report() {
		return this.report;
	}

	/**
	 * Returns the number of requests granted and not released.
	 * @return a number from 0
	 */
	public int running() {
		return this.holds.size();
	}

	/**
	 * Returns the memory that is not reserved.
	 * @return size of the KV cache in tokens, 0 if over-committed
	 */
	public long freeKvTokens() {
		return Math.max(0, this.report.kvTokens() - this.reservedKvTokens);
	}

	/**
	 * Says whether a long prompt is being prefilled.
	 * @return true until its first token
	 */
	public boolean hasLongPrefill() {
		return this.longPrefills > 0;
	}

	/**
	 * Says whether the endpoint probably caches the leading block of a prompt.
	 * @param prefixHash the hash of the block, 0 for none
	 * @return true if a recent request had the same block
	 */
	public boolean hasPrefix(long prefixHash) {
		return prefixHash != 0 && this.prefixes.containsKey(prefixHash);
	}

	/**
	 * Estimates the prefill work that is ahead of a new short prompt.
	 * @param nowMillis the time in milliseconds
	 * @return milliseconds
	 */
	public double shortPrefillMillis(long nowMillis) {
		double total = 0;
		for (Hold hold : this.holds.values()) {
			if (!hold.request().lengthClass().isLong()) {
				double needed = prefillMillis(hold.request().promptTokens());
				total += Math.max(0, needed - (nowMillis - hold.grantedMillis()));
			}
		}
		return total;
	}

	/**
	 * Estimates how long the endpoint alone needs to prefill a prompt.
	 * @param promptTokens the length in tokens
	 * @return milliseconds
	 */
	public double prefillMillis(long promptTokens) {
		if (this.report.engine() != null) {
			return this.report.engine().prefillMillis(promptTokens);
		}
		return promptTokens / this.report.prefillTokensPerSecond() * MILLIS_PER_SECOND;
	}

	/**
	 * Estimates when the endpoint will have read all prompts that it was given.
	 * @param nowMillis the time in milliseconds
	 * @return milliseconds from now, 0 if it reads nothing
	 */
	public double backlogMillis(long nowMillis) {
		return this.reading.millis(nowMillis);
	}

	/**
	 * Says whether reading one more prompt would pause an answer on the endpoint for too
	 * long. All that is unread may be read in one pass, between two events of the
	 * answers.
	 * @param partMillis the time for the prompt in milliseconds
	 * @param pauseShare the part of the shortest pause that may be used
	 * @return false if there is no answer or the pause stays short enough
	 */
	public boolean wouldPause(double partMillis, double pauseShare) {
		return this.reading.unreadMillis() + partMillis + passMillis() > shortestPauseMillis() * pauseShare;
	}

	/**
	 * Returns the shortest pause that an answer on the endpoint may have.
	 * @return milliseconds, {@link AnswerPace#ANY_PAUSE} if there is no answer
	 */
	private double shortestPauseMillis() {
		double shortest = AnswerPace.ANY_PAUSE;
		for (Hold hold : this.holds.values()) {
			shortest = Math.min(shortest, hold.request().pace().pauseMillis());
		}
		return shortest;
	}

	/**
	 * Estimates the time of a pass that reads nothing.
	 * @return milliseconds
	 */
	private double passMillis() {
		EngineModel engine = this.report.engine();
		return (engine != null) ? engine.passMillis(running(), this.reservedKvTokens) : 0;
	}

	/**
	 * Weighs the answers that a long prompt on the endpoint would delay.
	 * @return the time that another endpoint may take longer instead, in milliseconds
	 */
	public double disturbanceMillis() {
		return running() * DISTURBED_ANSWER_MILLIS;
	}

	/**
	 * Says whether one more request may be granted, apart from its memory.
	 * @param request the request
	 * @param nowMillis the time in milliseconds
	 * @return true if the endpoint takes it
	 */
	public boolean admits(GrantRequest request, long nowMillis) {
		if (!mayServe(request) || isDoubted(nowMillis) || this.isolated) {
			return false;
		}
		if (request.isIsolated()) {
			return running() == 0;
		}
		return running() < this.ramp.limit(this.report.slots(), nowMillis);
	}

	/**
	 * Says whether the endpoint is a candidate for the request once it has room.
	 * @param request the request
	 * @return true if the endpoint takes new work and has the model
	 */
	public boolean mayServe(GrantRequest request) {
		boolean isTaking = !this.out && !this.report.isLeaving();
		return isTaking && this.report.models().contains(request.model()) && !request.excluded().contains(endpoint());
	}

	/**
	 * Says whether the endpoint bears its full load.
	 * @param nowMillis the time in milliseconds
	 * @return true unless it is ramping up
	 */
	public boolean isWarm(long nowMillis) {
		return this.ramp.isWarm(this.report.slots(), nowMillis);
	}

	void hold(Grant grant, long kvTokens, boolean isPrefilling, long nowMillis) {
		boolean isPrefillingLong = isPrefilling && grant.request().lengthClass().isLong();
		boolean isPart = grant.request().parts() != null;
		boolean isHelper = grant.isParallel() && kvTokens == 0 && (isPart || !grant.answering().equals(endpoint()));
		Hold hold = new Hold(grant.request(), kvTokens, nowMillis, isPrefillingLong, isHelper);
		if (isPrefilling && !this.holds.containsKey(grant.key())) {
			double part = isPart ? grant.request().parts().partMillis()
					: prefillMillis(grant.request().promptTokens()) / (grant.isParallel() ? grant.shares().size() : 1);
			this.reading.add(grant.key(), part, nowMillis);
		}
		Hold previous = this.holds.put(grant.key(), hold);
		if (previous != null) {
			forget(previous);
		}
		this.reservedKvTokens += kvTokens;
		this.longPrefills += hold.isPrefillingLong() ? 1 : 0;
		this.isolated |= grant.request().isIsolated();
		if (grant.request().prefixHash() != 0) {
			rememberPrefix(grant.request().prefixHash());
		}
	}

	private void rememberPrefix(long prefixHash) {
		this.prefixes.put(prefixHash, Boolean.TRUE);
		if (this.prefixes.size() > REMEMBERED_PREFIXES) {
			this.prefixes.remove(this.prefixes.keySet().iterator().next());
		}
	}

	void firstToken(String key, long nowMillis) {
		Hold hold = this.holds.get(key);
		if (hold == null) {
			return;
		}
		this.reading.finish(key, nowMillis);
		if (hold.isHelper()) {
			release(key);
		}
		else if (hold.isPrefillingLong()) {
			this.holds.put(key, hold.withPrefilling(false));
			this.longPrefills--;
		}
		else {
			observeFirstToken(hold, nowMillis);
		}
	}

	void startPrefill(String key) {
		Hold hold = this.holds.get(key);
		if (hold != null && !hold.isPrefillingLong() && hold.request().lengthClass().isLong()) {
			this.holds.put(key, hold.withPrefilling(true));
			this.longPrefills++;
		}
	}

	private void observeFirstToken(Hold hold, long nowMillis) {
		double expected = prefillMillis(hold.request().promptTokens());
		double actual = nowMillis - hold.grantedMillis();
		boolean isSlow = !hasLongPrefill()
				&& actual > SLOW_FIRST_TOKEN_RATIO * expected + SLOW_FIRST_TOKEN_MARGIN_MILLIS;
		this.slowFirstTokens = isSlow ? this.slowFirstTokens + 1 : 0;
		if (this.slowFirstTokens >= SLOW_FIRST_TOKENS_UNTIL_COLD) {
			this.slowFirstTokens = 0;
			this.ramp.restart(nowMillis);
		}
	}

	boolean release(String key) {
		Hold hold = this.holds.remove(key);
		if (hold == null) {
			return false;
		}
		this.reading.drop(key);
		forget(hold);
		return true;
	}

	private void forget(Hold hold) {
		this.reservedKvTokens -= hold.kvTokens();
		this.longPrefills -= hold.isPrefillingLong() ? 1 : 0;
		if (hold.request().isIsolated()) {
			this.isolated = false;
		}
	}

	/**
	 * Takes over a newer report.
	 * @param next the report
	 * @param nowMillis the time in milliseconds
	 * @return the keys of grants lost because the endpoint has restarted
	 */
	List<String> observe(EndpointReport next, long nowMillis) {
		boolean hasRestarted = !next.bootId().equals(this.report.bootId());
		this.report = next;
		noteOrphans(nowMillis);
		return hasRestarted ? restart(nowMillis) : List.of();
	}

	private void noteOrphans(long nowMillis) {
		this.orphans.keySet().retainAll(this.report.handles());
		this.orphans.keySet().removeAll(this.holds.keySet());
		for (String handle : this.report.handles()) {
			if (!this.holds.containsKey(handle)) {
				this.orphans.putIfAbsent(handle, nowMillis);
			}
		}
	}

	/**
	 * Returns the parts of prompts that the endpoint holds and nobody has a grant for.
	 * @param nowMillis the time in milliseconds
	 * @return the identities of their grants
	 */
	List<String> orphans(long nowMillis) {
		return this.orphans.entrySet()
			.stream()
			.filter((entry) -> nowMillis - entry.getValue() >= ORPHAN_GRACE_MILLIS
					&& !this.holds.containsKey(entry.getKey()))
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Drops to the ramp's floor and forgets what the endpoint's process held.
	 * @param nowMillis the time in milliseconds
	 * @return the keys of the lost grants
	 */
	List<String> restart(long nowMillis) {
		List<String> lost = new ArrayList<>(this.holds.keySet());
		lost.forEach(this::release);
		this.prefixes.clear();
		this.ramp.restart(nowMillis);
		return lost;
	}

	/**
	 * Says whether the endpoint should be asked for a report, and if so counts it as
	 * asked.
	 * <p>
	 * A busy endpoint shows a restart by breaking its streams, so it is asked seldom.
	 * @param nowMillis the time in milliseconds
	 * @return true if the last report is too old or a request has failed
	 */
	boolean startPollIfDue(long nowMillis) {
		boolean isBusy = running() > 0 && this.orphans.isEmpty() && isWarm(nowMillis);
		long period = isBusy ? BUSY_POLL_MILLIS : IDLE_POLL_MILLIS;
		boolean isDue = isDoubted(nowMillis) || nowMillis - this.pollStartedMillis >= period;
		if (isDue) {
			this.pollStartedMillis = nowMillis;
		}
		return isDue;
	}

	void doubt(long nowMillis) {
		this.doubtedMillis = nowMillis;
	}

	/**
	 * Describes the endpoint for the log.
	 * @param nowMillis the time in milliseconds
	 * @return its use in short form
	 */
	String describe(long nowMillis) {
		return endpoint() + ":" + running() + "/" + this.ramp.limit(this.report.slots(), nowMillis) + ",free="
				+ freeKvTokens() + ",backlog=" + (long) backlogMillis(nowMillis)
				+ (isDoubted(nowMillis) ? ",doubted" : "") + (hasLongPrefill() ? ",long" : "")
				+ ((this.out || this.report.isLeaving()) ? ",leaving" : "");
	}

	// An endpoint that reports only changes would stay doubted for ever.
	private boolean isDoubted(long nowMillis) {
		return this.report.takenMillis() <= this.doubtedMillis && nowMillis - this.doubtedMillis < LONGEST_DOUBT_MILLIS;
	}

	void ramp(long nowMillis) {
		this.ramp.restart(nowMillis);
	}

	void setOut(boolean isOut) {
		this.out = isOut;
	}

	/**
	 * A grant's part on this endpoint.
	 */
	private record Hold(GrantRequest request, long kvTokens, long grantedMillis, boolean isPrefillingLong,
			boolean isHelper) {

		Hold withPrefilling(boolean isPrefilling) {
			return new Hold(this.request, this.kvTokens, this.grantedMillis, isPrefilling, this.isHelper);
		}

	}

}
