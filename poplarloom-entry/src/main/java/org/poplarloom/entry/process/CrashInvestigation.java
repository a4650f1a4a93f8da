package org.poplarloom.entry.process;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.process.CrashAttribution;
import org.poplarloom.core.process.CrashRegistry;
import org.poplarloom.core.process.MembershipTable;
import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.process.SurvivedAnswers;
import org.poplarloom.wire.message.Message;

/**
 * Finds the requests and the parts of prompts that crash endpoints, together with the
 * other instances.
 * <p>
 * An instance that loses an endpoint reports the fingerprints and the shared parts of its
 * requests there, the possible causes, to all homes. A home that suspects one asks all
 * instances for answers to it that survived; a cause that is found is quarantined in the
 * crash registry, which spreads by gossip. An instance that knows of a later answer that
 * survived ends the quarantine in the same way. This class is thread-safe and holds no
 * lock while it sends.
 */
public final class CrashInvestigation {

	/** The period of {@link #tick()}, in milliseconds. */
	public static final long TICK_MILLIS = 200;

	private static final Logger logger = LoggerFactory.getLogger(CrashInvestigation.class);

	private static final long QUERY_TIMEOUT_MILLIS = 300;

	private static final long EVIDENCE_RETENTION_MILLIS = 600_000;

	private static final long UNKNOWN_AGE = -1;

	private final MembershipTable membership;

	private final InstanceView instances;

	private final CrashRegistry crashes;

	private final Gossiper gossiper;

	private final Peers peers;

	private final Clock clock;

	private final CrashAttribution attribution = new CrashAttribution();

	private final AtomicBoolean queryInProgress = new AtomicBoolean();

	CrashInvestigation(MembershipTable membership, InstanceView instances, CrashRegistry crashes, Gossiper gossiper,
			Peers peers, Clock clock) {
		this.membership = membership;
		this.instances = instances;
		this.crashes = crashes;
		this.gossiper = gossiper;
		this.peers = peers;
		this.clock = clock;
	}

	/**
	 * Reports to all homes that an endpoint was lost while it may have begun to answer a
	 * request.
	 * @param endpoint the endpoint
	 * @param bootId the boot ID of its process
	 * @param request the fingerprint of the request
	 * @param parts the parts of its prompt that other requests may share
	 * @param connectionAgeMillis how long ago the lost connection was opened, in
	 * milliseconds
	 */
	public void report(EndpointId endpoint, String bootId, String request, List<String> parts,
			long connectionAgeMillis) {
		Message report = new Message.CrashReport(endpoint + "@" + bootId, request, parts, connectionAgeMillis);
		this.membership.liveShards(this.clock.nowMillis())
			.stream()
			.map(ShardStatus::home)
			.distinct()
			.forEach((home) -> this.instances.address(home)
				.ifPresent((address) -> this.peers.send(home, address, report)));
	}

	/**
	 * Records that an answer survived its beginning.
	 * @param possibleCauses the fingerprint of the request and the parts of its prompt
	 * that other requests may share
	 * @param beginMillis when the answer began, in milliseconds since the epoch
	 */
	public void recordSurvivor(List<String> possibleCauses, long beginMillis) {
		if (this.crashes.recordSurvivor(possibleCauses, beginMillis)) {
			logger.info("event=survived causes={}", possibleCauses);
			this.gossiper.broadcast();
		}
	}

	/**
	 * Returns whether a cause is known to crash endpoints.
	 * @param cause the cause
	 * @return true if requests with it must not be sent
	 */
	public boolean isHarmful(String cause) {
		return remainingMillis(cause) > 0;
	}

	/**
	 * Returns how long requests with a cause must not be sent.
	 * @param cause the cause
	 * @return the time that is left in milliseconds, 0 if they may be sent
	 */
	public long remainingMillis(String cause) {
		return this.crashes.quarantineMillis(cause, this.clock.nowMillis());
	}

	void receive(Message.CrashReport report) {
		long now = this.clock.nowMillis();
		this.attribution.forgetFound((cause) -> !this.crashes.standsOut(cause));
		String crashId = this.attribution.recordCrash(report.lifetime(), report.request(), report.parts(),
				now - report.connectionAgeMillis(), now);
		Stream.concat(Stream.of(report.request()), report.parts().stream())
			.filter(this.crashes::standsOut)
			.forEach((cause) -> recordRenewedCrash(cause, crashId, now));
	}

	// After its time a quarantine begins again with the next crash.
	private void recordRenewedCrash(String cause, String crashId, long nowMillis) {
		boolean isOver = this.crashes.quarantineMillis(cause, nowMillis) == 0;
		this.crashes.recordCrashes(cause, List.of(new CrashRegistry.Occurrence(crashId, nowMillis)), 0, nowMillis);
		if (isOver && this.crashes.quarantineMillis(cause, nowMillis) > 0) {
			logger.warn("event=harmful_again cause=\"{}\" crash={}", cause, crashId);
			this.gossiper.broadcast();
		}
	}

	Message receive(Message.SurvivalQuery query) {
		long now = this.clock.nowMillis();
		SurvivedAnswers answers = this.crashes.survivedAnswers();
		List<Message.SurvivalReply.Age> ages = query.causes()
			.stream()
			.map(answers::lastBeginMillis)
			.map((begin) -> new Message.SurvivalReply.Age(begin.isPresent() ? now - begin.getAsLong() : UNKNOWN_AGE))
			.toList();
		return new Message.SurvivalReply(ages,
				query.causes()
					.stream()
					.map((cause) -> new Message.SurvivalReply.Count(answers.count(cause, now)))
					.toList());
	}

	/**
	 * Asks all instances about the current suspects and quarantines those that crash
	 * endpoints.
	 */
	public void tick() {
		if (this.attribution.isEmpty()) {
			return;
		}
		long now = this.clock.nowMillis();
		this.attribution.expire(now - EVIDENCE_RETENTION_MILLIS);
		List<String> suspects = this.attribution.suspects(now);
		if (!suspects.isEmpty() && this.queryInProgress.compareAndSet(false, true)) {
			queryAll(suspects).whenComplete((done, failure) -> {
				this.queryInProgress.set(false);
				decide(suspects);
			});
		}
	}

	private CompletableFuture<Void> queryAll(List<String> suspects) {
		Message query = new Message.SurvivalQuery(suspects);
		Map<String, Long> served = new ConcurrentHashMap<>();
		return CompletableFuture.allOf(this.instances.all()
			.stream()
			.map((instance) -> this.peers.request(instance.id(), instance.address(), query, QUERY_TIMEOUT_MILLIS)
				.handle((reply, failure) -> {
					if (reply instanceof Message.SurvivalReply survival) {
						recordSurvivors(suspects, survival);
						addServed(suspects, survival, served);
					}
					return null;
				}))
			.toArray(CompletableFuture[]::new)).thenRun(() -> served.forEach(this.attribution::recordServed));
	}

	private void recordSurvivors(List<String> suspects, Message.SurvivalReply reply) {
		long now = this.clock.nowMillis();
		for (int i = 0; i < Math.min(suspects.size(), reply.ages().size()); i++) {
			long ageMillis = reply.ages().get(i).value();
			if (ageMillis != UNKNOWN_AGE) {
				this.attribution.recordSurvivor(suspects.get(i), now - ageMillis);
			}
		}
	}

	private static void addServed(List<String> suspects, Message.SurvivalReply reply, Map<String, Long> served) {
		for (int i = 0; i < Math.min(suspects.size(), reply.counts().size()); i++) {
			served.merge(suspects.get(i), reply.counts().get(i).value(), Long::sum);
		}
	}

	private void decide(List<String> suspects) {
		long now = this.clock.nowMillis();
		List<String> harmful = this.attribution.decide(suspects, now);
		if (!harmful.isEmpty()) {
			harmful.forEach((cause) -> quarantine(cause, this.attribution.verdict(cause), now));
			this.gossiper.broadcast();
		}
	}

	private void quarantine(String cause, CrashAttribution.Verdict verdict, long nowMillis) {
		logger.warn("event=harmful causes=[{}] crashes={} served={}", cause, verdict.crashes().size(),
				verdict.served());
		this.crashes.recordCrashes(cause, verdict.crashes(), verdict.served(), nowMillis);
	}

}
