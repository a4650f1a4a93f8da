package org.poplarloom.entry.process;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

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
 * crash registry, which spreads by gossip. This class is thread-safe and holds no lock
 * while it sends.
 */
public final class CrashInvestigation {

	/** The period of {@link #tick()}, in milliseconds. */
	public static final long TICK_MILLIS = 200;

	private static final Logger logger = LoggerFactory.getLogger(CrashInvestigation.class);

	private static final long QUERY_TIMEOUT_MILLIS = 300;

	private static final int MAX_QUERIED_CAUSES = 50;

	private static final long EVIDENCE_RETENTION_MILLIS = 600_000;

	private static final long UNKNOWN_AGE = -1;

	private final MembershipTable membership;

	private final InstanceView instances;

	private final CrashRegistry crashes;

	private final Gossiper gossiper;

	private final Peers peers;

	private final Clock clock;

	private final CrashAttribution attribution = new CrashAttribution();

	private final SurvivedAnswers survivedAnswers = new SurvivedAnswers();

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
	 */
	public void report(EndpointId endpoint, String bootId, String request, List<String> parts) {
		Message report = new Message.CrashReport(endpoint + "@" + bootId, request, parts);
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
		this.survivedAnswers.record(possibleCauses, beginMillis);
	}

	/**
	 * Returns whether a cause is known to crash endpoints.
	 * @param cause the cause
	 * @return true if requests with it must not be sent
	 */
	public boolean isHarmful(String cause) {
		return this.crashes.status(cause, this.clock.nowMillis()) == CrashRegistry.Status.QUARANTINED;
	}

	void receive(Message.CrashReport report) {
		this.attribution.recordCrash(report.crashId(), report.request(), report.parts(), this.clock.nowMillis());
	}

	Message receive(Message.SurvivalQuery query) {
		long now = this.clock.nowMillis();
		return new Message.SurvivalReply(query.causes()
			.stream()
			.map(this.survivedAnswers::lastBeginMillis)
			.map((begin) -> new Message.SurvivalReply.Age(begin.isPresent() ? now - begin.getAsLong() : UNKNOWN_AGE))
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
		List<String> suspects = this.attribution.suspects(now).stream().limit(MAX_QUERIED_CAUSES).toList();
		if (!suspects.isEmpty() && this.queryInProgress.compareAndSet(false, true)) {
			queryAll(suspects).whenComplete((done, failure) -> {
				this.queryInProgress.set(false);
				decide();
			});
		}
	}

	private CompletableFuture<Void> queryAll(List<String> suspects) {
		Message query = new Message.SurvivalQuery(suspects);
		return CompletableFuture.allOf(this.instances.all()
			.stream()
			.map((instance) -> this.peers.request(instance.id(), instance.address(), query, QUERY_TIMEOUT_MILLIS)
				.handle((reply, failure) -> {
					if (reply instanceof Message.SurvivalReply survival) {
						recordSurvivors(suspects, survival);
					}
					return null;
				}))
			.toArray(CompletableFuture[]::new));
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

	private void decide() {
		long now = this.clock.nowMillis();
		List<String> harmful = this.attribution.decide(now);
		if (!harmful.isEmpty()) {
			logger.warn("event=harmful causes={}", harmful);
			harmful.forEach((cause) -> this.crashes.quarantine(cause, now));
			this.gossiper.broadcast();
		}
	}

}
