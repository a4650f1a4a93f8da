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
 * One run of a load against one shard in virtual time.
 * <p>
 * The same load and seed give the same result. This class is not thread-safe.
 */
final class ShardRun {

	private static final double REPORT_MILLIS = 1_000;

	private static final double TICK_MILLIS = 50;

	private static final TeamId TEAM = TeamId.of("team");

	private final VirtualTime time = new VirtualTime();

	private final Map<EndpointId, VirtualEngine> engines = new TreeMap<>();

	private final Map<String, Running> running = new HashMap<>();

	private final Map<LengthClass, Histogram> firstTokens = new EnumMap<>(LengthClass.class);

	private final Load load;

	private final Random random;

	private Router router;

	private int parts = 1;

	private long nextId;

	private int admitted;

	private int finished;

	private int refused;

	private int failed;

	private int lateLongs;

	private int longs;

	private long finishedLongTokens;

	ShardRun(Load load, long seed) {
		this.load = load;
		this.random = new Random(seed);
		for (int i = 0; i < load.engines(); i++) {
			EndpointId id = EndpointId.of(String.format("e%03d", i));
			this.engines.put(id, new VirtualEngine(this.time, id, load.engine(), -load.warmMillis()));
		}
		for (LengthClass lengthClass : LengthClass.values()) {
			this.firstTokens.put(lengthClass, new Histogram(3));
		}
	}

	int engineSize(EndpointId id) {
		return this.engines.get(id).model().size();
	}

	Result run(Router newRouter) {
		return run(newRouter, 1);
	}

	Result run(Router newRouter, int newParts) {
		this.router = newRouter;
		this.parts = newParts;
		this.router.onDecision(this::decided);
		report();
		this.time.every(REPORT_MILLIS, this::report);
		this.time.every(TICK_MILLIS, () -> this.router.tick(this.time.nowMillis()));
		scheduleArrival();
		this.time.runUntil(this.load.durationMillis() + this.load.longDeadlineMillis());
		return result();
	}

	private void report() {
		List<EndpointReport> reports = new ArrayList<>();
		this.engines.values().forEach((engine) -> reports.add(engine.report(this.parts)));
		this.router.observe(reports, this.time.nowMillis());
	}

	private void scheduleArrival() {
		double gap = -Math.log(1 - this.random.nextDouble()) / this.load.requestsPerSecond() * 1_000;
		this.time.after(gap, () -> {
			if (this.time.now() < this.load.durationMillis()) {
				arrive();
				scheduleArrival();
			}
		});
	}

	private void arrive() {
		boolean isLong = this.random.nextDouble() < Load.LONG_FRACTION;
		double position = this.random.nextDouble();
		long answer = 50 + this.random.nextInt(150);
		if (isLong && !this.load.hasLongs()) {
			return;
		}
		long prompt = isLong ? Load.longPrompt(position) : Load.shortPrompt(position);
		double deadline = this.time.now() + (isLong ? this.load.longDeadlineMillis() : this.load.shortDeadlineMillis());
		GrantRequest request = new GrantRequest("r" + this.nextId++, 1, TEAM, "model", prompt, answer, 0,
				(long) deadline, false, Set.of());
		this.longs += isLong ? 1 : 0;
		this.running.put(request.key(), new Running(request, this.time.now()));
		decided(this.router.request(request, this.time.nowMillis()));
	}

	private void decided(GrantDecision decision) {
		if (decision instanceof GrantDecision.Granted granted) {
			this.admitted++;
			startSegment(granted.grant(), 0);
		}
		else if (decision instanceof GrantDecision.Refused refusal) {
			this.refused++;
			this.running.remove(Grant.key(refusal.requestId(), refusal.attempt()));
		}
	}

	private void startSegment(Grant grant, int segment) {
		Share share = grant.shares().get(segment);
		boolean isLast = segment == grant.shares().size() - 1;
		long answer = isLast ? grant.request().answerTokens() : 1;
		long prompt = isLast ? share.kvTokens() - grant.request().answerTokens() : share.kvTokens();
		Sequence sequence = Sequence.of(grant.key(), grant.priority(), Math.max(1, prompt), answer, 0)
			.withKvTokens(share.kvTokens());
		this.engines.get(share.endpoint())
			.submit(isLast ? sequence : sequence.asSegment(), new VirtualEngine.Listener() {

				@Override
				public void token(Sequence produced) {
					if (isLast) {
						answerToken(grant, produced);
					}
					else {
						ShardRun.this.router.segmentDone(grant.key(), segment, ShardRun.this.time.nowMillis());
						startSegment(grant, segment + 1);
					}
				}

				@Override
				public void lost() {
					end(grant);
					ShardRun.this.failed++;
				}

			});
	}

	private void answerToken(Grant grant, Sequence sequence) {
		Running request = this.running.get(grant.key());
		if (sequence.produced() == 1) {
			LengthClass lengthClass = grant.request().lengthClass();
			this.firstTokens.get(lengthClass).recordValue((long) (this.time.now() - request.startedMillis()));
			this.router.firstToken(grant.key(), this.time.nowMillis());
		}
		if (sequence.isFinished()) {
			this.finished++;
			boolean isLong = grant.request().lengthClass().isLong();
			boolean isLate = this.time.now() > grant.request().deadlineMillis();
			this.lateLongs += (isLong && isLate) ? 1 : 0;
			this.finishedLongTokens += (isLong && !isLate) ? grant.request().promptTokens() : 0;
			end(grant);
		}
	}

	private void end(Grant grant) {
		this.running.remove(grant.key());
		grant.shares().forEach((share) -> this.engines.get(share.endpoint()).cancel(grant.key()));
		this.router.release(grant.key(), this.time.nowMillis());
	}

	private Result result() {
		long prefilled = this.engines.values().stream().mapToLong((engine) -> engine.model().prefilledTokens()).sum();
		double capacity = this.load.engine().sustainedTokensPerSecond() * this.load.engines()
				* this.load.durationMillis() / 1_000;
		int crashes = this.engines.values().stream().mapToInt(VirtualEngine::crashes).sum();
		int concurrency = this.engines.values().stream().mapToInt(VirtualEngine::highestConcurrency).max().orElse(0);
		return new Result(this.firstTokens, this.admitted, this.finished, this.refused, this.failed, this.longs,
				this.lateLongs, this.finishedLongTokens, prefilled / capacity, crashes, concurrency,
				this.running.size());
	}

	/**
	 * A request that has not ended.
	 */
	private record Running(GrantRequest request, double startedMillis) {
	}

	/**
	 * What came of a run.
	 *
	 * @param firstTokens the times to first token in milliseconds by prompt length
	 * @param admitted granted requests
	 * @param finished requests with a whole answer
	 * @param refused refused requests
	 * @param failed requests lost in a crash
	 * @param longs long requests offered
	 * @param lateLongs long requests that ended after their deadline
	 * @param finishedLongTokens prompt tokens of long requests that ended in time
	 * @param utilization the used part of the prefill capacity
	 * @param crashes engine crashes
	 * @param highestConcurrency the most requests on one engine at one time
	 * @param unfinished requests that had not ended at the end of the run
	 */
	record Result(Map<LengthClass, Histogram> firstTokens, int admitted, int finished, int refused, int failed,
			int longs, int lateLongs, long finishedLongTokens, double utilization, int crashes, int highestConcurrency,
			int unfinished) {

		double shortPercentile(double percentile) {
			return this.firstTokens.get(LengthClass.SHORT).getValueAtPercentile(percentile);
		}

	}

}
