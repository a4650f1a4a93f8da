package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Endpoints of one model that crash while they run requests, in virtual time, with the
 * real {@link CrashAttribution} and {@link CrashRegistry}.
 * <p>
 * The size is that of docs/CAPACITY.md divided by its four models. Each instance
 * remembers its own answers; news take {@link #PEER_MILLIS}, and a home decides every 200
 * ms after it has asked. The same seed gives the same run. This class is not thread-safe.
 */
final class CrashSimulation {

	private static final int INSTANCES = 102;

	/** Requests a second for each endpoint: 12,000 for 7,900. */
	private static final double REQUESTS_PER_ENDPOINT = 1.52;

	private static final long RUN_MILLIS = 10_000;

	static final long DOWN_MILLIS = 4_500;

	private static final long FIRST_BYTE_MILLIS = 1_000;

	/** An answer survives its beginning when it has gone on for this time. */
	private static final long SURVIVAL_MILLIS = 1_000;

	/** A harmful request crashes its endpoint within this time after it was sent. */
	private static final int MAX_CRASH_DELAY_MILLIS = 500;

	private static final long TICK_MILLIS = 200;

	private static final long PEER_MILLIS = 50;

	private static final long RETENTION_MILLIS = 600_000;

	private static final long[] RETRY_DELAYS_MILLIS = { 10, 1_000, 1_000 };

	/** 1,700 teams have 7,900 endpoints. */
	private static final double TEAMS_PER_ENDPOINT = 0.215;

	private static final int DOCUMENTS_PER_ENDPOINT = 15;

	private static final int LOOKUPS = 5;

	private static final double LOOKUP_RATIO = 0.1;

	private static final long LOOKUP_MILLIS = 43;

	private final Random random;

	private final int endpoints;

	private final CrashAttribution attribution = new CrashAttribution();

	private final CrashRegistry registry = CrashRegistry.of(RETENTION_MILLIS);

	private final List<SurvivedAnswers> answersByInstance = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::millis).thenComparingLong(Event::order));

	private final List<Set<Run>> runs = new ArrayList<>();

	private final boolean[] isDown;

	private final int[] boots;

	private final Map<Integer, Double> resetRatios = new HashMap<>();

	private final Map<String, Long> refusedSinceMillis = new TreeMap<>();

	private final Map<String, List<Long>> crashMillisByHarm = new HashMap<>();

	private long nowMillis;

	private long order;

	private long requests;

	private long crashes;

	private long endedRequests;

	CrashSimulation(long seed, int endpoints) {
		this.random = new Random(seed);
		this.endpoints = endpoints;
		this.isDown = new boolean[endpoints];
		this.boots = new int[endpoints];
		for (int i = 0; i < endpoints; i++) {
			this.runs.add(new LinkedHashSet<>());
		}
		for (int i = 0; i < INSTANCES; i++) {
			this.answersByInstance.add(new SurvivedAnswers());
		}
		schedule(0, this::arrive);
		schedule(0, this::tick);
	}

	long crashes() {
		return this.crashes;
	}

	/**
	 * Returns how many requests lost an endpoint, repetitions not counted.
	 * @return the number of requests
	 */
	long endedRequests() {
		return this.endedRequests;
	}

	/**
	 * Returns the causes that were refused at any time.
	 * @return the causes
	 */
	Set<String> refused() {
		return this.refusedSinceMillis.keySet();
	}

	/**
	 * Returns when endpoints crashed by a cause.
	 * @param harm the cause
	 * @return the times in milliseconds
	 */
	List<Long> crashMillis(String harm) {
		return this.crashMillisByHarm.getOrDefault(harm, List.of());
	}

	void advance(long millis) {
		long end = this.nowMillis + millis;
		while (this.events.peek().millis() <= end) {
			Event event = this.events.poll();
			this.nowMillis = event.millis();
			event.action().run();
		}
		this.nowMillis = end;
	}

	private void schedule(long delayMillis, Runnable action) {
		this.events.add(new Event(this.nowMillis + delayMillis, this.order++, action));
	}

	private long exponentialMillis(double perSecond) {
		return Math.round(-1_000 * Math.log(1 - this.random.nextDouble()) / perSecond);
	}

	private void arrive() {
		long id = this.requests++;
		if (this.random.nextDouble() < LOOKUP_RATIO) {
			send(new Request("lookup " + this.random.nextInt(LOOKUPS), List.of(), null, LOOKUP_MILLIS), 0);
		}
		else {
			// Few teams and documents have many of the requests.
			int team = (int) (TEAMS_PER_ENDPOINT * this.endpoints * Math.pow(this.random.nextDouble(), 2));
			int document = (int) (DOCUMENTS_PER_ENDPOINT * this.endpoints * Math.pow(this.random.nextDouble(), 2));
			send(new Request("request " + id, List.of("team " + team, "document " + document), null, RUN_MILLIS), 0);
		}
		schedule(exponentialMillis(REQUESTS_PER_ENDPOINT * this.endpoints), this::arrive);
	}

	/**
	 * Sends requests that crash each endpoint, until the end of the simulation.
	 * @param harm the fingerprint of the request, or the part of different requests
	 * @param isPart whether it is a part
	 * @param perSecond the rate
	 */
	void sendHarmful(String harm, boolean isPart, double perSecond) {
		schedule(exponentialMillis(perSecond), () -> {
			String fingerprint = isPart ? "request " + this.requests++ : harm;
			String team = "team " + this.random.nextInt((int) (TEAMS_PER_ENDPOINT * this.endpoints));
			send(new Request(fingerprint, isPart ? List.of(team, harm) : List.of(team), harm, RUN_MILLIS), 0);
			sendHarmful(harm, isPart, perSecond);
		});
	}

	/**
	 * Lets endpoints crash one after the other at random times.
	 * @param ratio the share of the endpoints
	 * @param durationMillis the time in which they crash
	 * @param downMillis how long each is down
	 */
	void crashEndpoints(double ratio, long durationMillis, long downMillis) {
		for (int endpoint = 0; endpoint < this.endpoints; endpoint++) {
			if (this.random.nextDouble() < ratio) {
				int crashing = endpoint;
				schedule((long) (this.random.nextDouble() * durationMillis), () -> crash(crashing, downMillis));
			}
		}
	}

	/**
	 * Lets endpoints reset connections while they serve others.
	 * @param ratio the share of the endpoints
	 * @param requestRatio the share of the requests at these endpoints that lose their
	 * connection
	 * @param durationMillis how long
	 */
	void resetConnections(double ratio, double requestRatio, long durationMillis) {
		for (int endpoint = 0; endpoint < this.endpoints; endpoint++) {
			if (this.random.nextDouble() < ratio) {
				this.resetRatios.put(endpoint, requestRatio);
			}
		}
		schedule(durationMillis, this.resetRatios::clear);
	}

	private void crash(int endpoint, long downMillis) {
		if (this.isDown[endpoint]) {
			return;
		}
		this.crashes++;
		this.isDown[endpoint] = true;
		String crashId = "i-" + endpoint + "@" + this.boots[endpoint]++;
		List<Run> lost = List.copyOf(this.runs.get(endpoint));
		this.runs.get(endpoint).clear();
		lost.forEach((run) -> lose(run, crashId));
		schedule(downMillis, () -> this.isDown[endpoint] = false);
	}

	private void reset(Run run, int endpoint) {
		if (!run.isOver) {
			this.runs.get(endpoint).remove(run);
			lose(run, "i-" + endpoint + "@" + this.boots[endpoint]);
		}
	}

	private void lose(Run run, String crashId) {
		run.isOver = true;
		this.endedRequests += (run.attempt == 0) ? 1 : 0;
		Request request = run.request;
		List<String> parts = run.hasSurvived ? List.of() : request.parts();
		schedule(PEER_MILLIS, () -> report(crashId, run.startedMillis, request.fingerprint(), parts));
		if (run.attempt < RETRY_DELAYS_MILLIS.length) {
			schedule(RETRY_DELAYS_MILLIS[run.attempt], () -> send(request, run.attempt + 1));
		}
	}

	private void report(String lifetime, long openedMillis, String fingerprint, List<String> parts) {
		this.attribution.forgetFound((cause) -> !this.registry.standsOut(cause));
		String crashId = this.attribution.recordCrash(lifetime, fingerprint, parts, openedMillis, this.nowMillis);
		Stream.concat(Stream.of(fingerprint), parts.stream())
			.filter(this.registry::standsOut)
			.forEach((cause) -> this.registry.recordCrashes(cause,
					List.of(new CrashRegistry.Occurrence(crashId, this.nowMillis)), 0, this.nowMillis));
	}

	private boolean isRefused(Request request) {
		return Stream.concat(Stream.of(request.fingerprint()), request.parts().stream())
			.anyMatch((cause) -> this.refusedSinceMillis.getOrDefault(cause, Long.MAX_VALUE) <= this.nowMillis
					&& this.registry.quarantineMillis(cause, this.nowMillis) > 0);
	}

	private void send(Request request, int attempt) {
		int endpoint = this.random.nextInt(this.endpoints);
		if (this.isDown[endpoint]) {
			endpoint = this.random.nextInt(this.endpoints);
		}
		if (this.isDown[endpoint] || isRefused(request)) {
			return;
		}
		Run run = new Run(request, attempt, this.nowMillis);
		int chosen = endpoint;
		this.runs.get(endpoint).add(run);
		if (request.harm() != null) {
			schedule(this.random.nextInt(MAX_CRASH_DELAY_MILLIS), () -> crashBy(run, chosen));
			return;
		}
		if (this.random.nextDouble() < this.resetRatios.getOrDefault(chosen, 0.0)) {
			schedule(this.random.nextInt(MAX_CRASH_DELAY_MILLIS), () -> reset(run, chosen));
		}
		if (!request.parts().isEmpty()) {
			schedule(FIRST_BYTE_MILLIS + SURVIVAL_MILLIS, () -> surviveBeginning(run));
		}
		schedule(request.runMillis(), () -> complete(run, chosen));
	}

	private void crashBy(Run run, int endpoint) {
		if (!run.isOver) {
			this.crashMillisByHarm.computeIfAbsent(run.request.harm(), (key) -> new ArrayList<>()).add(this.nowMillis);
			crash(endpoint, DOWN_MILLIS);
		}
	}

	private void surviveBeginning(Run run) {
		if (!run.isOver) {
			run.hasSurvived = true;
			recordSurvivor(run.request.parts(), this.nowMillis - SURVIVAL_MILLIS);
		}
	}

	private void recordSurvivor(List<String> causes, long beginMillis) {
		this.answersByInstance.get(this.random.nextInt(INSTANCES)).record(causes, beginMillis);
		this.registry.recordSurvivor(causes, beginMillis);
	}

	private void complete(Run run, int endpoint) {
		if (!run.isOver) {
			run.isOver = true;
			this.runs.get(endpoint).remove(run);
			long writingMillis = Math.max(0, run.request.runMillis() - FIRST_BYTE_MILLIS);
			recordSurvivor(List.of(run.request.fingerprint()), this.nowMillis - writingMillis);
		}
	}

	private void tick() {
		if (!this.attribution.isEmpty()) {
			this.attribution.expire(this.nowMillis - RETENTION_MILLIS);
			List<String> suspects = this.attribution.suspects(this.nowMillis);
			if (!suspects.isEmpty()) {
				schedule(PEER_MILLIS, () -> decide(suspects));
			}
		}
		schedule(TICK_MILLIS, this::tick);
	}

	private void decide(List<String> suspects) {
		for (String suspect : suspects) {
			long served = 0;
			for (SurvivedAnswers answers : this.answersByInstance) {
				answers.lastBeginMillis(suspect)
					.ifPresent((beginMillis) -> this.attribution.recordSurvivor(suspect, beginMillis));
				served += answers.count(suspect, this.nowMillis);
			}
			this.attribution.recordServed(suspect, served);
		}
		for (String cause : this.attribution.decide(suspects, this.nowMillis)) {
			CrashAttribution.Verdict verdict = this.attribution.verdict(cause);
			this.registry.recordCrashes(cause, verdict.crashes(), verdict.served(), this.nowMillis);
			if (this.registry.quarantineMillis(cause, this.nowMillis) > 0) {
				this.refusedSinceMillis.putIfAbsent(cause, this.nowMillis + PEER_MILLIS);
			}
		}
	}

	/**
	 * Something that happens at a time; those at the same time happen in order.
	 */
	private record Event(long millis, long order, Runnable action) {
	}

	/**
	 * A request; {@code harm} is the cause by which it crashes endpoints, null if it is
	 * sound.
	 */
	private record Request(String fingerprint, List<String> parts, String harm, long runMillis) {
	}

	/**
	 * One attempt of a request.
	 */
	private static final class Run {

		private final Request request;

		private final int attempt;

		private final long startedMillis;

		private boolean hasSurvived;

		private boolean isOver;

		Run(Request request, int attempt, long startedMillis) {
			this.request = request;
			this.attempt = attempt;
			this.startedMillis = startedMillis;
		}

	}

}
