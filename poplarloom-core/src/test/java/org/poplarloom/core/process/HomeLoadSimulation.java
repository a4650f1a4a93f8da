package org.poplarloom.core.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.IntFunction;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;

/**
 * Instances of three zones that choose homes by old statuses, in virtual time.
 * <p>
 * A home starts a request at once if it has a free slot; otherwise it refuses, the
 * instance tries the homes it has not tried yet, and the last one queues the request. The
 * zones' demand may vary. Each instance receives the statuses of another zone at a time
 * of its own and those of its own zone every half second. The same seed gives the same
 * arrivals for every choice. This class is not thread-safe.
 */
final class HomeLoadSimulation {

	static final int ZONES = 3;

	static final int SLOTS = 100;

	private static final double SERVICE_MILLIS = 1_000;

	/** The resolution of the simulation in milliseconds. */
	static final long STEP_MILLIS = 10;

	private static final long LOCAL_STATUS_MILLIS = 500;

	/** Time until an instance knows that a home did not answer. */
	private static final long NO_ANSWER_MILLIS = 150;

	/** Time of a question to a home that refuses. */
	private static final long REFUSAL_MILLIS = 5;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Load load;

	private final Random arrivals;

	private final Random choices;

	private final Home[] homes = new Home[ZONES];

	private final HomeChoice[] instances;

	private final HomeSummary[][] known;

	private final long[][] receivedMillis;

	private final List<Double> waits = new ArrayList<>();

	private long remote;

	private long refusals;

	private long idleWhileQueued;

	private long steps;

	private double largestToMean;

	private long nowMillis;

	HomeLoadSimulation(Load load, IntFunction<HomeChoice> choice, long seed) {
		this.load = load;
		this.arrivals = new Random(seed);
		this.choices = new Random(seed + 1);
		this.instances = new HomeChoice[load.instances];
		this.known = new HomeSummary[load.instances][ZONES];
		this.receivedMillis = new long[load.instances][ZONES];
		for (int zone = 0; zone < ZONES; zone++) {
			this.homes[zone] = new Home(zone);
		}
		for (int i = 0; i < load.instances; i++) {
			this.instances[i] = choice.apply(Math.max(1, load.instances / ZONES));
			Arrays.fill(this.known[i], new HomeSummary(SLOTS / 5, SLOTS, 0, 0, false));
		}
	}

	Result run(long durationMillis) {
		while (this.nowMillis < durationMillis) {
			for (Home home : this.homes) {
				home.advance();
			}
			sendStatuses();
			for (int zone = 0; zone < ZONES; zone++) {
				int count = poisson(this.load.perSecond(zone, this.nowMillis) * STEP_MILLIS / MILLIS_PER_SECOND);
				for (int i = 0; i < count; i++) {
					arrive(zone);
				}
			}
			measure();
			this.nowMillis += STEP_MILLIS;
		}
		double[] sorted = this.waits.stream().mapToDouble(Double::doubleValue).sorted().toArray();
		return new Result(this.largestToMean / this.steps, (double) this.idleWhileQueued / this.steps,
				Arrays.stream(sorted).average().orElse(0), sorted[(int) (sorted.length * 0.99)],
				(double) this.remote / sorted.length, (double) this.refusals / sorted.length);
	}

	private int poisson(double mean) {
		double limit = Math.exp(-mean);
		int count = 0;
		for (double product = this.arrivals.nextDouble(); product > limit; product *= this.arrivals.nextDouble()) {
			count++;
		}
		return count;
	}

	private void sendStatuses() {
		for (int i = 0; i < this.instances.length; i++) {
			for (int zone = 0; zone < ZONES; zone++) {
				long period = Math.max(STEP_MILLIS,
						isLocal(i, zone) ? Math.min(LOCAL_STATUS_MILLIS, this.load.ageMillis) : this.load.ageMillis);
				boolean isDue = (this.nowMillis + i * 137L) % period < STEP_MILLIS;
				if (isDue && !this.load.isCutOff(zone, this.nowMillis) || this.load.ageMillis == 0) {
					this.known[i][zone] = this.homes[zone].summary();
					this.receivedMillis[i][zone] = this.nowMillis;
				}
			}
		}
	}

	private static boolean isLocal(int instance, int zone) {
		return instance % ZONES == zone;
	}

	private void arrive(int zone) {
		int count = (this.instances.length - zone + ZONES - 1) / ZONES;
		int instance = zone + ZONES * this.choices.nextInt(Math.max(1, count));
		double serviceMillis = -Math.log(1 - this.arrivals.nextDouble()) * SERVICE_MILLIS;
		List<Integer> untried = new ArrayList<>(List.of(0, 1, 2));
		double delay = 0;
		while (true) {
			List<HomeCandidate> candidates = untried.stream().map((home) -> candidate(instance, home)).toList();
			Optional<ShardStatus> chosen = this.instances[instance].choose(candidates, false, this.choices,
					this.nowMillis);
			int home = chosen.orElseThrow().shard().zone().equals(this.homes[0].zone) ? 0
					: chosen.get().shard().zone().equals(this.homes[1].zone) ? 1 : 2;
			boolean isAnswering = !this.load.isCutOff(home, this.nowMillis);
			if (isAnswering && (this.homes[home].hasRoom() || untried.size() == 1)) {
				this.remote += isLocal(instance, home) ? 0 : 1;
				this.instances[instance].recordGranted(chosen.get().shard(), 1, this.nowMillis);
				this.homes[home].add(new Request(instance, this.nowMillis, delay, serviceMillis));
				return;
			}
			this.refusals++;
			delay += isAnswering ? REFUSAL_MILLIS : NO_ANSWER_MILLIS;
			untried.remove((Integer) home);
			if (untried.isEmpty()) {
				this.homes[instance % ZONES].add(new Request(instance, this.nowMillis, delay, serviceMillis));
				return;
			}
		}
	}

	private HomeCandidate candidate(int instance, int zone) {
		Home home = this.homes[zone];
		ShardStatus status = new ShardStatus(new ShardId(home.zone, 0), home.id, "", 0, this.known[instance][zone]);
		return new HomeCandidate(status, isLocal(instance, zone), this.nowMillis - this.receivedMillis[instance][zone]);
	}

	private void measure() {
		double largest = 0;
		double sum = 0;
		double idle = 0;
		boolean isQueued = false;
		for (Home home : this.homes) {
			int total = home.running.size() + home.queue.size();
			largest = Math.max(largest, total);
			sum += total;
			idle += SLOTS - home.running.size();
			isQueued |= !home.queue.isEmpty();
		}
		this.steps++;
		this.largestToMean += (sum > 0) ? largest * ZONES / sum : 1;
		this.idleWhileQueued += (isQueued && idle > SLOTS * 0.1) ? 1 : 0;
	}

	/**
	 * The instances, their information and the demand.
	 *
	 * @param name the name
	 * @param instances the number of choosing instances
	 * @param ageMillis the period of the statuses of other zones, so that these are half
	 * as old on average, in milliseconds; 0 for exact information
	 * @param utilization the mean demand as a fraction of the capacity
	 * @param amplitude by which fraction the demand of a zone varies
	 * @param periodMillis the period of that variation, in milliseconds
	 * @param isInPhase whether all zones' demand varies in phase
	 * @param cutOffMillis when the last zone is cut off for 3 s, negative for never
	 */
	record Load(String name, int instances, long ageMillis, double utilization, double amplitude, long periodMillis,
			boolean isInPhase, long cutOffMillis) {

		double perSecond(int zone, long nowMillis) {
			double phase = 2 * Math.PI
					* (nowMillis / (double) this.periodMillis + (this.isInPhase ? 0 : zone / (double) ZONES));
			return SLOTS / SERVICE_MILLIS * MILLIS_PER_SECOND * this.utilization
					* (1 + this.amplitude * Math.sin(phase));
		}

		boolean isCutOff(int zone, long nowMillis) {
			return zone == ZONES - 1 && this.cutOffMillis >= 0 && nowMillis >= this.cutOffMillis
					&& nowMillis < this.cutOffMillis + 3_000;
		}

	}

	/**
	 * The result of a run.
	 *
	 * @param largestToMean the load of the most loaded home divided by the mean, averaged
	 * over time
	 * @param idleWhileQueued the fraction of the time in which requests wait at a home
	 * while more than 10% of a zone's slots are free
	 * @param meanWaitMillis the mean time to the start, in milliseconds
	 * @param p99WaitMillis the 99th percentile of the time to the start, in milliseconds
	 * @param remoteShare the fraction of the requests that run in another zone
	 * @param refusalsPerRequest the refused questions per request
	 */
	record Result(double largestToMean, double idleWhileQueued, double meanWaitMillis, double p99WaitMillis,
			double remoteShare, double refusalsPerRequest) {

		@Override
		public String toString() {
			return String.format(
					"largest_to_mean=%.3f idle_while_queued=%.4f mean_ms=%.1f p99_ms=%.0f remote=%.3f "
							+ "refusals=%.3f",
					this.largestToMean, this.idleWhileQueued, this.meanWaitMillis, this.p99WaitMillis, this.remoteShare,
					this.refusalsPerRequest);
		}

	}

	private record Request(int instance, long arrivalMillis, double delayMillis, double serviceMillis) {
	}

	private record Running(double endMillis, Request request) {
	}

	/**
	 * A home with slots and a queue.
	 */
	private final class Home {

		private final AvailabilityZone zone;

		private final InstanceId id;

		private final PriorityQueue<Running> running = new PriorityQueue<>(
				(a, b) -> Double.compare(a.endMillis, b.endMillis));

		private final Deque<Request> queue = new ArrayDeque<>();

		Home(int index) {
			this.zone = AvailabilityZone.of("zone-" + index);
			this.id = InstanceId.of("home-" + index);
		}

		boolean hasRoom() {
			return this.running.size() < SLOTS;
		}

		HomeSummary summary() {
			return new HomeSummary(SLOTS / 5, SLOTS, this.running.size(), this.queue.size(), false);
		}

		void add(Request request) {
			if (!hasRoom()) {
				this.queue.add(request);
				return;
			}
			HomeLoadSimulation.this.waits
				.add(HomeLoadSimulation.this.nowMillis - request.arrivalMillis + request.delayMillis);
			this.running.add(new Running(HomeLoadSimulation.this.nowMillis + request.serviceMillis, request));
		}

		void advance() {
			while (!this.running.isEmpty() && this.running.peek().endMillis <= HomeLoadSimulation.this.nowMillis) {
				Request ended = this.running.poll().request;
				HomeLoadSimulation.this.instances[ended.instance].recordEnded(new ShardId(this.zone, 0), 1,
						HomeLoadSimulation.this.nowMillis);
				if (!this.queue.isEmpty()) {
					add(this.queue.poll());
				}
			}
		}

	}

}
