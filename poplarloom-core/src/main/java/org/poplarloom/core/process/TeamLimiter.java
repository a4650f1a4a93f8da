package org.poplarloom.core.process;

import java.util.Optional;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.version.Contract;

/**
 * Enforces an instance's share of the rate and concurrency limits of one contract.
 * <p>
 * Requests and tokens in flight never exceed the share, except that one request is always
 * within the concurrency limits while nothing is in flight. This class is thread-safe;
 * its own lock guards it and no other lock is taken while it is held.
 */
public final class TeamLimiter {

	private static final double BURST_SECONDS = 1.0;

	private static final double MIN_BURST = 1.0;

	private final TokenBucket requests;

	private final TokenBucket tokens;

	private Contract contract;

	private double share;

	private long requestsInFlight;

	private long tokensInFlight;

	private TeamLimiter(Contract contract, double share, long nowMillis) {
		this.contract = contract;
		this.share = share;
		this.requests = TokenBucket.of(requestRate(), requestBurst(), nowMillis);
		this.tokens = TokenBucket.of(tokenRate(), tokenBurst(), nowMillis);
	}

	/**
	 * Returns a limiter with nothing in flight.
	 * @param contract the contract
	 * @param share the instance's fraction of every limit, above 0 and at most 1
	 * @param nowMillis the time in milliseconds
	 * @return the limiter
	 */
	public static TeamLimiter of(Contract contract, double share, long nowMillis) {
		return new TeamLimiter(contract, share, nowMillis);
	}

	private double requestRate() {
		return this.contract.requestsPerSecond() * this.share;
	}

	private double requestBurst() {
		return Math.max(MIN_BURST, requestRate() * BURST_SECONDS);
	}

	private double tokenRate() {
		return this.contract.tokensPerSecond() * this.share;
	}

	private double tokenBurst() {
		return Math.max(MIN_BURST, tokenRate() * BURST_SECONDS);
	}

	/**
	 * Changes the contract or the share from now on.
	 * @param nextContract the contract
	 * @param nextShare the instance's fraction of every limit, above 0 and at most 1
	 * @param nowMillis the time in milliseconds
	 */
	public synchronized void update(Contract nextContract, double nextShare, long nowMillis) {
		this.contract = nextContract;
		this.share = nextShare;
		this.requests.setRate(requestRate(), requestBurst(), nowMillis);
		this.tokens.setRate(tokenRate(), tokenBurst(), nowMillis);
	}

	/**
	 * Admits a request or returns the reason for its refusal.
	 * @param requestTokens the length of the prompt and of the longest answer in tokens
	 * @param nowMillis the time in milliseconds
	 * @return the refusal, or empty if the request was admitted
	 */
	public synchronized Optional<Refusal> admit(long requestTokens, long nowMillis) {
		boolean hasRoom = this.requestsInFlight + 1 <= Math.max(1, this.contract.requestsInFlight() * this.share)
				&& this.tokensInFlight + requestTokens <= this.contract.tokensInFlight() * this.share;
		if (!hasRoom && this.requestsInFlight > 0) {
			return Optional.of(new Refusal(ErrorCode.CONCURRENCY_LIMITED, this.requests.millisUntil(1)));
		}
		if (!this.requests.tryAcquire(1, nowMillis)) {
			return Optional.of(new Refusal(ErrorCode.RATE_LIMITED, this.requests.millisUntil(1)));
		}
		if (!this.tokens.tryAcquire(requestTokens, nowMillis)) {
			this.requests.refund(1);
			return Optional.of(new Refusal(ErrorCode.RATE_LIMITED, this.tokens.millisUntil(requestTokens)));
		}
		this.requestsInFlight++;
		this.tokensInFlight += requestTokens;
		return Optional.empty();
	}

	/**
	 * Ends an admitted request.
	 * @param requestTokens the tokens with which it was admitted
	 * @param usedTokens the tokens that it used; the rest is refunded
	 */
	public synchronized void finish(long requestTokens, long usedTokens) {
		this.requestsInFlight--;
		this.tokensInFlight -= requestTokens;
		this.tokens.refund(Math.max(0, requestTokens - usedTokens));
	}

	/**
	 * Returns the number of requests in flight.
	 * @return a number from 0
	 */
	public synchronized long requestsInFlight() {
		return this.requestsInFlight;
	}

	/**
	 * Why a request was not admitted.
	 *
	 * @param code the reason
	 * @param retryAfterMillis the time until another attempt may succeed, in milliseconds
	 */
	public record Refusal(ErrorCode code, long retryAfterMillis) {
	}

}
