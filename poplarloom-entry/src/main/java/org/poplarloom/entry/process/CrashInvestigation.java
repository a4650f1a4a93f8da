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
import org.poplarloom.core.process.PartSurvivals;
import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.wire.message.Message;

/**
 * Finds the parts of prompts that crash endpoints, together with the other instances.
 * <p>
 * An instance that loses an endpoint reports the parts of its requests there to all
 * homes. A home that suspects a part asks all instances for answers on it that survived;
 * a part that is found is quarantined in the crash registry, which spreads by gossip.
 * This class is thread-safe and holds no lock while it sends.
 */
public final class CrashInvestigation {

	/** The period of {@link #tick()}, in milliseconds. */
	public static final long TICK_MILLIS = 200;

	private static final Logger logger = LoggerFactory.getLogger(CrashInvestigation.class);

	private static final long QUERY_TIMEOUT_MILLIS = 300;

	private static final int MAX_QUERIED_PARTS = 50;

	private static final long EVIDENCE_RETENTION_MILLIS = 600_000;

	private static final long UNKNOWN_AGE = -1;

	private final MembershipTable membership;

	private final InstanceView instances;

	private final CrashRegistry crashes;

	private final Gossiper gossiper;

	private final Peers peers;

	private final Clock clock;

	private final CrashAttribution attribution = new CrashAttribution();

	private final PartSurvivals survivals = new PartSurvivals();

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
	 * @param parts the parts of the request's prompt that other requests may share
	 */
	public void report(EndpointId endpoint, String bootId, List<String> parts) {
		if (parts.isEmpty()) {
			return;
		}
		Message report = new Message.CrashReport(endpoint + "@" + bootId, parts);
		this.membership.liveShards(this.clock.nowMillis())
			.stream()
			.map(ShardStatus::home)
			.distinct()
			.forEach((home) -> this.instances.address(home)
				.ifPresent((address) -> this.peers.send(home, address, report)));
	}

	/**
	 * Records that an answer survived its beginning.
	 * @param parts the parts of the request's prompt that other requests may share
	 * @param beginMillis when the answer began, in milliseconds since the epoch
	 */
	public void recordSurvivor(List<String> parts, long beginMillis) {
		this.survivals.record(parts, beginMillis);
	}

	/**
	 * Returns whether a part is known to crash endpoints.
	 * @param part the part
	 * @return true if requests with it must not be sent
	 */
	public boolean isHarmful(String part) {
		return this.crashes.status(registryKey(part), this.clock.nowMillis()) == CrashRegistry.Status.QUARANTINED;
	}

	// Parts share the registry with requests, whose fingerprints contain a '#'.
	private static String registryKey(String part) {
		return "part:" + part;
	}

	void receive(Message.CrashReport report) {
		this.attribution.recordCrash(report.crashId(), report.parts(), this.clock.nowMillis());
	}

	Message receive(Message.SurvivalQuery query) {
		long now = this.clock.nowMillis();
		return new Message.SurvivalReply(query.parts()
			.stream()
			.map((part) -> this.survivals.lastBeginMillis(part))
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
		List<String> suspects = this.attribution.suspects(now).stream().limit(MAX_QUERIED_PARTS).toList();
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
			logger.warn("event=harmful_parts parts={}", harmful);
			harmful.forEach((part) -> this.crashes.quarantine(registryKey(part), now));
			this.gossiper.broadcast();
		}
	}

}
