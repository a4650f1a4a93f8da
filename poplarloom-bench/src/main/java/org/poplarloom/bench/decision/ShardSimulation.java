package org.poplarloom.bench.decision;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.process.EndpointReport;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.LengthClass;
import org.poplarloom.core.request.Share;
import org.poplarloom.standin.engine.Sequence;

/**
 * Simulates a workload on one shard in virtual time.
 * <p>
 * The same workload and seed give the same result. This class is not thread-safe.
 */
final class ShardSimulation {

	private static final double REPORT_INTERVAL_MILLIS = 1_000;

	private static final double TICK_INTERVAL_MILLIS = 50;

	private static final TeamId TEAM = TeamId.of("team");

	private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();

	private final Map<EndpointId, VirtualEngine> engines = new TreeMap<>();

	private final Map<String, ActiveRequest> activeRequests = new HashMap<>();

	private final Map<LengthClass, Histogram> firstTokenMillis = new EnumMap<>(LengthClass.class);

	private final Workload workload;

	private final Random random;

	private Router router;

	private int capacityDivisor = 1;

	private long nextId;

	private int admitted;

	private int finished;

	private int refused;

	private int failed;

	private int lateLongRequests;

	private int longRequests;

	private long onTimeLongTokens;

	ShardSimulation(Workload workload, long seed) {
		this.workload = workload;
		this.random = new Random(seed);
		for (int i = 0; i < workload.engineCount(); i++) {
			EndpointId id = EndpointId.of(String.format("e%03d", i));
			this.engines.put(id,
					new VirtualEngine(this.scheduler, id, workload.engineSettings(), -workload.engineUptimeMillis()));
		}
		for (LengthClass lengthClass : LengthClass.values()) {
			this.firstTokenMillis.put(lengthClass, new Histogram(3));
		}
	}

	int requestsOn(EndpointId endpoint) {
		return this.engines.get(endpoint).simulatedEngine().size();
	}

	Result run(Router newRouter) {
		return run(newRouter, 1);
	}

	Result run(Router newRouter, int newCapacityDivisor) {
		this.router = newRouter;
		this.capacityDivisor = newCapacityDivisor;
		this.router.onDecision(this::handleDecision);
		reportEndpoints();
		this.scheduler.scheduleEvery(REPORT_INTERVAL_MILLIS, this::reportEndpoints);
		this.scheduler.scheduleEvery(TICK_INTERVAL_MILLIS, () -> this.router.tick(this.scheduler.nowMillis()));
		scheduleArrival();
		this.scheduler.runUntil(this.workload.durationMillis() + this.workload.longDeadlineMillis());
		return result();
	}

	private void reportEndpoints() {
		List<EndpointReport> reports = new ArrayList<>();
		this.engines.values().forEach((engine) -> reports.add(engine.report(this.capacityDivisor)));
		this.router.observe(reports, this.scheduler.nowMillis());
	}

	private void scheduleArrival() {
		double gapMillis = -Math.log(1 - this.random.nextDouble()) / this.workload.requestsPerSecond() * 1_000;
		this.scheduler.scheduleAfter(gapMillis, () -> {
			if (this.scheduler.nowExactMillis() < this.workload.durationMillis()) {
				submitRequest();
				scheduleArrival();
			}
		});
	}

	private void submitRequest() {
		boolean isLong = this.random.nextDouble() < Workload.LONG_FRACTION;
		double quantile = this.random.nextDouble();
		long answerTokens = 50 + this.random.nextInt(150);
		if (isLong && !this.workload.hasLongPrompts()) {
			return;
		}
		long promptTokens = isLong ? Workload.longPromptTokens(quantile) : Workload.shortPromptTokens(quantile);
		double deadlineMillis = this.scheduler.nowExactMillis()
				+ (isLong ? this.workload.longDeadlineMillis() : this.workload.shortDeadlineMillis());
		GrantRequest request = new GrantRequest("r" + this.nextId++, 1, TEAM, "model", promptTokens, answerTokens, 0,
				(long) deadlineMillis, false, Set.of());
		this.longRequests += isLong ? 1 : 0;
		this.activeRequests.put(request.key(), new ActiveRequest(request, this.scheduler.nowExactMillis()));
		handleDecision(this.router.request(request, this.scheduler.nowMillis()));
	}

	private void handleDecision(GrantDecision decision) {
		if (decision instanceof GrantDecision.Granted granted) {
			this.admitted++;
			startSegment(granted.grant(), 0);
		}
		else if (decision instanceof GrantDecision.Refused refusal) {
			this.refused++;
			this.activeRequests.remove(Grant.key(refusal.requestId(), refusal.attempt()));
		}
	}

	private void startSegment(Grant grant, int segment) {
		Share share = grant.shares().get(segment);
		boolean isLast = segment == grant.shares().size() - 1;
		long answerTokens = isLast ? grant.request().answerTokens() : 1;
		long promptTokens = isLast ? share.kvTokens() - grant.request().answerTokens() : share.kvTokens();
		Sequence sequence = Sequence.of(grant.key(), grant.priority(), Math.max(1, promptTokens), answerTokens, 0)
			.withKvTokens(share.kvTokens());
		this.engines.get(share.endpoint())
			.submit(isLast ? sequence : sequence.asSegment(), new VirtualEngine.Listener() {

				@Override
				public void onToken(Sequence produced) {
					if (isLast) {
						handleAnswerToken(grant, produced);
					}
					else {
						ShardSimulation.this.router.recordSegmentPrefilled(grant.key(), segment,
								ShardSimulation.this.scheduler.nowMillis());
						startSegment(grant, segment + 1);
					}
				}

				@Override
				public void onCrash() {
					release(grant);
					ShardSimulation.this.failed++;
				}

			});
	}

	private void handleAnswerToken(Grant grant, Sequence sequence) {
		ActiveRequest request = this.activeRequests.get(grant.key());
		if (sequence.generatedTokens() == 1) {
			LengthClass lengthClass = grant.request().lengthClass();
			this.firstTokenMillis.get(lengthClass)
				.recordValue((long) (this.scheduler.nowExactMillis() - request.arrivalMillis()));
			this.router.recordFirstToken(grant.key(), this.scheduler.nowMillis());
		}
		if (sequence.isFinished()) {
			this.finished++;
			boolean isLong = grant.request().lengthClass().isLong();
			boolean isLate = this.scheduler.nowExactMillis() > grant.request().deadlineMillis();
			this.lateLongRequests += (isLong && isLate) ? 1 : 0;
			this.onTimeLongTokens += (isLong && !isLate) ? grant.request().promptTokens() : 0;
			release(grant);
		}
	}

	private void release(Grant grant) {
		this.activeRequests.remove(grant.key());
		grant.shares().forEach((share) -> this.engines.get(share.endpoint()).cancel(grant.key()));
		this.router.release(grant.key(), this.scheduler.nowMillis());
	}

	private Result result() {
		long prefilledTokens = this.engines.values()
			.stream()
			.mapToLong((engine) -> engine.simulatedEngine().prefilledTokens())
			.sum();
		double capacityTokens = this.workload.engineSettings().sustainedTokensPerSecond() * this.workload.engineCount()
				* this.workload.durationMillis() / 1_000;
		int crashes = this.engines.values().stream().mapToInt(VirtualEngine::crashes).sum();
		int maxConcurrency = this.engines.values().stream().mapToInt(VirtualEngine::maxConcurrency).max().orElse(0);
		return new Result(this.firstTokenMillis, this.admitted, this.finished, this.refused, this.failed,
				this.longRequests, this.lateLongRequests, this.onTimeLongTokens, prefilledTokens / capacityTokens,
				crashes, maxConcurrency, this.activeRequests.size());
	}

	/**
	 * A request that is queued or running, and its time of arrival.
	 */
	private record ActiveRequest(GrantRequest request, double arrivalMillis) {
	}

	/**
	 * The results of a simulation.
	 *
	 * @param firstTokenMillis the times to first token in milliseconds by prompt length
	 * @param admitted the number of granted requests
	 * @param finished the number of requests with a complete answer
	 * @param refused the number of refused requests
	 * @param failed the number of requests lost in an engine crash
	 * @param longRequests the number of requests with a long prompt that were offered
	 * @param lateLongRequests the number of those that finished after their deadline
	 * @param onTimeLongTokens the prompt tokens of those that finished before their
	 * deadline
	 * @param utilization the used fraction of the prefill capacity
	 * @param crashes the number of engine crashes
	 * @param maxConcurrency the maximum number of requests on one engine at one time
	 * @param unfinished the number of requests still queued or running at the end
	 */
	record Result(Map<LengthClass, Histogram> firstTokenMillis, int admitted, int finished, int refused, int failed,
			int longRequests, int lateLongRequests, long onTimeLongTokens, double utilization, int crashes,
			int maxConcurrency, int unfinished) {

		double shortFirstTokenPercentile(double percentile) {
			return this.firstTokenMillis.get(LengthClass.SHORT).getValueAtPercentile(percentile);
		}

	}

}
