package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.admission.AdmissionRule;
import org.poplarloom.core.admission.TeamUsage;
import org.poplarloom.core.process.EndpointReport;
import org.poplarloom.core.process.HomeDecision;
import org.poplarloom.core.process.HomeSummary;
import org.poplarloom.core.process.JointStart;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.MembershipTable;
import org.poplarloom.core.process.PlacementPolicy;
import org.poplarloom.core.process.ShardHome;
import org.poplarloom.core.process.ShardId;
import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.process.SpeedAwarePlacement;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;
import org.poplarloom.core.version.ConfigurationState;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.version.ActiveConfiguration;
import org.poplarloom.port.EndpointPort;
import org.poplarloom.wire.message.Message;

/**
 * The shards whose home is this instance. The home of a shard is the one instance that
 * grants the endpoints of the shard.
 * <p>
 * Each queued request has exactly one pending reply. This class is thread-safe; it holds
 * no lock when it calls a {@link ShardHome}, which takes its own.
 */
public final class LocalHomes {

	private static final Logger logger = LoggerFactory.getLogger(LocalHomes.class);

	/**
	 * Time after which a queued request is answered with {@code still_queued}, in
	 * milliseconds; the instance then sends it again.
	 */
	public static final long STILL_QUEUED_REPLY_MILLIS = 500;

	private static final long HOLDER_GRACE_MILLIS = 10_000;

	/** A peer that has been silent for longer is taken for ended, in milliseconds. */
	private static final long MAX_CUT_OFF_MILLIS = 20_000;

	/**
	 * Time after the failure timeout within which two instances that take themselves for
	 * the home of a shard hear from each other and one gives it up, in milliseconds.
	 */
	private static final long AGREEMENT_MARGIN_MILLIS = 1_000;

	private final Settings settings;

	private final MembershipTable membership;

	private final EndpointDirectory directory;

	private final EndpointPort endpoints;

	private final InstanceView instances;

	private final ActiveConfiguration activeConfiguration;

	private final Clock clock;

	private final JointStart jointStart;

	private final Supplier<PlacementPolicy> placementPolicies;

	private final Map<ShardId, Home> homes = new ConcurrentHashMap<>();

	private final Map<String, PendingReply> pendingReplies = new ConcurrentHashMap<>();

	private final Map<InstanceId, Long> lastSeenMillis = new ConcurrentHashMap<>();

	private volatile boolean mayTakeOver;

	private volatile Runnable readyListener = () -> {
	};

	public LocalHomes(Settings settings, MembershipTable membership, EndpointDirectory directory,
			EndpointPort endpoints, InstanceView instances, ActiveConfiguration activeConfiguration, Clock clock,
			Supplier<PlacementPolicy> placementPolicies) {
		this.placementPolicies = placementPolicies;
		this.endpoints = endpoints;
		this.instances = instances;
		this.settings = settings;
		this.membership = membership;
		this.directory = directory;
		this.activeConfiguration = activeConfiguration;
		this.clock = clock;
		this.jointStart = new JointStart(membership.self(), settings.settleMillis());
		activeConfiguration.addListener(this::applyConfiguration);
	}

	private void applyConfiguration(ConfigurationState state) {
		boolean isOut = state.isZoneOut(this.settings.zone());
		long now = this.clock.nowMillis();
		this.homes.values().forEach((home) -> sendDecisions(home.shardHome().setOut(isOut, now)));
	}

	/**
	 * Sets what is called when a new home can grant its first endpoints.
	 * @param listener the listener
	 */
	public void onReady(Runnable listener) {
		this.readyListener = listener;
	}

	/**
	 * Lets this instance take over shards from now on. Until it has looked for other
	 * instances, it would take itself for the home of every shard.
	 */
	public void allowTakeOver() {
		this.mayTakeOver = true;
	}

	/**
	 * Takes over and releases shards as membership changes, and releases the grants of
	 * instances that have ended.
	 */
	public void followMembership() {
		long now = this.clock.nowMillis();
		for (int index = 0; index < this.settings.shardsPerZone(); index++) {
			updateShard(new ShardId(this.settings.zone(), index), now);
		}
		endSettleTimes(now);
		if (!this.homes.isEmpty()) {
			releaseEndedHolders(now);
			boolean isLearning = learnsSpeeds(now);
			this.homes.values().forEach((home) -> home.shardHome().learnSpeeds(isLearning));
		}
		if (this.membership.hasSilentMember(MAX_CUT_OFF_MILLIS, now)) {
			this.homes.values().forEach((home) -> home.shardHome().expectOtherHome(now));
		}
	}

	/**
	 * Makes the next poll of an endpoint due at once, since its state has changed.
	 * @param endpoint the endpoint; one outside the local shards is ignored
	 */
	public void pollSoon(EndpointId endpoint) {
		this.homes.values().forEach((home) -> home.shardHome().pollSoon(endpoint));
	}

	/**
	 * Expires overdue grants and queued requests of the local shards. Answers requests
	 * that have been queued for {@link #STILL_QUEUED_REPLY_MILLIS} with
	 * {@code still_queued}.
	 */
	public void tick() {
		long now = this.clock.nowMillis();
		this.homes.values().forEach((home) -> sendDecisions(home.shardHome().tick(now)));
		this.pendingReplies.forEach((key, pending) -> {
			if (now - pending.receivedMillis() >= STILL_QUEUED_REPLY_MILLIS) {
				reply(key, new Message.GrantRefused(ErrorCode.STILL_QUEUED, 0));
			}
		});
	}

	/**
	 * Logs the queue and the endpoint usage of each local shard that has queued requests.
	 */
	public void logQueues() {
		long now = this.clock.nowMillis();
		this.homes.forEach((shard, home) -> {
			String queue = home.shardHome().describeQueue(now);
			if (!queue.isEmpty()) {
				logger.info("event=queue shard={} {}", shard, queue);
			}
		});
	}

	private void updateShard(ShardId shard, long now) {
		Optional<Member> chosen = this.membership.home(shard, now);
		boolean isHome = chosen.isPresent() && chosen.get().id().equals(this.settings.instance());
		Home existing = this.homes.get(shard);
		if (isHome && existing == null && this.mayTakeOver) {
			logger.info("taking over shard {}", shard);
			ShardHome home = newHome(now + this.settings.settleMillis());
			home.setOut(this.activeConfiguration.state().isZoneOut(shard.zone()), now);
			this.homes.put(shard, new Home(home));
			// A home grants nothing before the first reports of its endpoints.
			poll().subscribe();
		}
		else if (!isHome && existing != null) {
			logger.info("giving up shard {} to {}", shard, chosen.map(Member::id).orElse(null));
			this.homes.remove(shard);
			this.jointStart.recordStepDown(shard);
			sendDecisions(existing.shardHome().stepDown());
		}
	}

	private boolean learnsSpeeds(long now) {
		return this.settings.load().learnsEndpointSpeeds() && isLargeZone(now);
	}

	private boolean isLargeZone(long now) {
		return this.membership.live(this.settings.zone(), now).size() >= this.settings.load().spreadMinInstances();
	}

	private ShardHome newHome(long settleEndMillis) {
		long agreementMillis = this.settings.failureTimeoutMillis() + AGREEMENT_MARGIN_MILLIS;
		boolean mayLearnSpeeds = this.settings.load().learnsEndpointSpeeds();
		PlacementPolicy policy = mayLearnSpeeds ? new SpeedAwarePlacement(this.placementPolicies.get())
				: this.placementPolicies.get();
		return this.settings.load().hasTeamShares()
				? ShardHome.withTeamShares(policy, this.settings.ramp(), settleEndMillis, agreementMillis)
				: ShardHome.of(policy, this.settings.ramp(), settleEndMillis, agreementMillis);
	}

	private void endSettleTimes(long now) {
		if (!this.settings.load().isSpread() || !isSettling() || !isLargeZone(now)) {
			return;
		}
		this.homes.forEach((shard, home) -> {
			if (home.shardHome().isSettling(now) && this.jointStart.isFirstHome(shard, this.instances.listedIds())) {
				logger.info("event=settled_early shard={}", shard);
				sendDecisions(home.shardHome().endSettleTime(now));
			}
		});
	}

	/**
	 * Returns whether a local home still waits for holders to announce their grants.
	 * @return true during the settle time of a home
	 */
	boolean isSettling() {
		long now = this.clock.nowMillis();
		return this.homes.values().stream().anyMatch((home) -> home.shardHome().isSettling(now));
	}

	/**
	 * Returns what shows whether all instances have started together.
	 * @return the state, which takes what was heard of other instances
	 */
	JointStart jointStart() {
		return this.jointStart;
	}

	private void releaseEndedHolders(long now) {
		this.instances.possibleHolders().forEach((instance) -> this.lastSeenMillis.put(instance, now));
		for (Map.Entry<InstanceId, Long> entry : this.lastSeenMillis.entrySet()) {
			if (entry.getValue() + HOLDER_GRACE_MILLIS < now) {
				this.lastSeenMillis.remove(entry.getKey());
				this.homes.values()
					.forEach((home) -> sendDecisions(home.shardHome().releaseHolder(entry.getKey(), now)));
			}
		}
	}

	/**
	 * Polls the endpoints of all local shards for load reports that are due.
	 * @return completes when all have answered or failed
	 */
	public Mono<Void> poll() {
		return Flux.fromIterable(this.homes.entrySet())
			.flatMap((entry) -> this.directory
				.poll(entry.getKey(), this.settings.shardsPerZone(),
						(endpoint) -> entry.getValue().shardHome().startPollIfDue(endpoint, this.clock.nowMillis()))
				.doOnNext((reports) -> observe(entry.getValue(), reports)))
			.then();
	}

	/**
	 * Polls the endpoints of all local shards for their usage totals.
	 * @param usage takes the totals
	 * @return completes when all have answered or failed
	 */
	public Mono<Void> pollUsage(UsagePublisher usage) {
		return Flux.fromIterable(this.homes.values())
			.flatMapIterable((home) -> home.shardHome().endpoints())
			.filter((endpoint) -> this.directory.address(endpoint) != null)
			.flatMap((endpoint) -> Mono.from(this.endpoints.usage(this.directory.address(endpoint)))
				.doOnNext((totals) -> usage.recordEndpointUsage(endpoint, totals))
				.onErrorResume((failure) -> Mono.empty()))
			.then();
	}

	private void observe(Home home, List<EndpointReport> reports) {
		Set<EndpointId> outEndpoints = new HashSet<>();
		for (EndpointReport report : reports) {
			if (this.activeConfiguration.configuration().isEndpointOut(report.endpoint())) {
				outEndpoints.add(report.endpoint());
			}
		}
		List<HomeDecision> decisions = home.shardHome().observe(reports, outEndpoints, this.clock.nowMillis());
		home.shardHome().raiseFencingToken(this.settings.instance());
		boolean isReadyNow = !reports.isEmpty() && !home.hasReports();
		home.recordReports(!reports.isEmpty());
		sendDecisions(decisions);
		if (isReadyNow) {
			this.readyListener.run();
		}
		home.shardHome().orphans(this.clock.nowMillis()).forEach(this::cancelOrphan);
	}

	private void cancelOrphan(ShardHome.Orphan orphan) {
		String address = this.directory.address(orphan.endpoint());
		if (address != null) {
			logger.info("cancelling {} on {}: no grant covers it", orphan.key(), orphan.endpoint());
			Mono.from(this.endpoints.cancel(address, orphan.key())).onErrorComplete().subscribe();
		}
	}

	/**
	 * Grants, refuses or queues a request for a grant.
	 * <p>
	 * A request for a shard whose home is another instance, or whose endpoints have not
	 * reported yet, is refused with {@code not_home}.
	 * @param holder the instance that sent the request
	 * @param shard the shard
	 * @param request the request
	 * @param isFailFast whether the request is refused rather than queued
	 * @param reply takes the decision, now or once the queued request is decided
	 */
	public void acquire(InstanceId holder, ShardId shard, GrantRequest request, boolean isFailFast,
			Consumer<Message> reply) {
		Home home = this.homes.get(shard);
		if (home == null || !home.hasReports()) {
			reply.accept(new Message.GrantRefused(ErrorCode.NOT_HOME, 0));
			return;
		}
		this.pendingReplies.put(request.key(), new PendingReply(reply, this.clock.nowMillis()));
		HomeDecision decision = home.shardHome().decide(holder, request, !isFailFast, this.clock.nowMillis());
		if (!(decision.decision() instanceof GrantDecision.Queued)) {
			sendDecisions(List.of(decision));
		}
	}

	/**
	 * Records the first token of a granted request.
	 * @param shard the shard
	 * @param key the identity of the grant
	 */
	public void recordFirstToken(ShardId shard, String key) {
		Home home = this.homes.get(shard);
		if (home != null) {
			sendDecisions(home.shardHome().recordFirstToken(key, this.clock.nowMillis()));
		}
	}

	/**
	 * Records that an endpoint has prefilled its segment of a long prompt.
	 * @param shard the shard
	 * @param key the identity of the grant
	 * @param segment the index of the segment, from 0
	 */
	public void recordSegmentPrefilled(ShardId shard, String key, int segment) {
		Home home = this.homes.get(shard);
		if (home != null) {
			sendDecisions(home.shardHome().recordSegmentPrefilled(key, segment, this.clock.nowMillis()));
		}
	}

	/**
	 * Releases a grant or removes its request from the queue.
	 * @param shard the shard
	 * @param key the identity of the grant
	 * @param failedEndpoint the endpoint whose process failed, or null
	 */
	public void release(ShardId shard, String key, EndpointId failedEndpoint) {
		Home home = this.homes.get(shard);
		this.pendingReplies.remove(key);
		if (home != null) {
			sendDecisions(home.shardHome().release(key, this.clock.nowMillis()));
			if (failedEndpoint != null) {
				home.shardHome().markUnreachable(failedEndpoint, this.clock.nowMillis());
				poll().subscribe();
			}
		}
	}

	/**
	 * Takes over grants that a previous home made.
	 * @param holder the instance that holds them
	 * @param shard the shard
	 * @param grants the grants
	 * @return whether this instance is the home; if not, the holder has to announce again
	 */
	public boolean announce(InstanceId holder, ShardId shard, List<Grant> grants) {
		Home home = this.homes.get(shard);
		if (home == null) {
			return false;
		}
		long now = this.clock.nowMillis();
		grants.forEach((grant) -> home.shardHome().announce(holder, grant, now));
		return true;
	}

	/**
	 * Describes the local shards for other instances.
	 * @return one status per shard
	 */
	public List<ShardStatus> statuses() {
		long now = this.clock.nowMillis();
		List<ShardStatus> statuses = new ArrayList<>();
		Member self = this.membership.self();
		this.homes.forEach((shard, home) -> {
			HomeSummary summary = home.shardHome().summary(now);
			statuses.add(new ShardStatus(shard, self.id(), self.address(), now, summary));
		});
		return statuses;
	}

	private void sendDecisions(List<HomeDecision> decisions) {
		for (HomeDecision decision : decisions) {
			if (decision.rule() != AdmissionRule.NONE) {
				logRule(decision);
			}
			if (decision.decision() instanceof GrantDecision.Granted granted) {
				reply(granted.grant().key(), grantAcquired(granted.grant()));
			}
			else if (decision.decision() instanceof GrantDecision.Refused refused) {
				reply(Grant.key(refused.requestId(), refused.attempt()),
						new Message.GrantRefused(refused.code(), refused.retryAfterMillis()));
			}
		}
	}

	private void logRule(HomeDecision decision) {
		if (decision.decision() instanceof GrantDecision.Granted granted) {
			GrantRequest request = granted.grant().request();
			logger.info("request={} event=queue decision=granted_late rule={} team={} priority={} late_ms={}",
					request.requestId(), decision.rule().text(), request.team(), request.priority(),
					this.clock.nowMillis() - request.latencyTarget().firstTokenTargetMillis());
		}
		else if (decision.decision() instanceof GrantDecision.Refused refused) {
			logger.info("request={} event=queue decision={} rule={} retry_after_ms={}", refused.requestId(),
					refused.code().text(), decision.rule().text(), refused.retryAfterMillis());
		}
	}

	private void reply(String key, Message message) {
		PendingReply pending = this.pendingReplies.remove(key);
		if (pending != null) {
			pending.reply().accept(message);
		}
	}

	private Message.GrantAcquired grantAcquired(Grant grant) {
		List<String> addresses = new ArrayList<>();
		List<String> bootIds = new ArrayList<>();
		for (Share share : grant.shares()) {
			addresses.add(String.valueOf(this.directory.address(share.endpoint())));
			bootIds.add(this.directory.bootId(share.endpoint()));
		}
		return new Message.GrantAcquired(grant, addresses, bootIds);
	}

	/**
	 * Returns what each team has received from the local homes and waits for there.
	 * @return the figures by name: for each team, {@code served_ms}, {@code waiting} and
	 * {@code refused}; empty if the engines' time is not shared among teams
	 */
	public Map<String, Long> teamFigures() {
		List<TeamUsage> usages = new ArrayList<>();
		this.homes.values().forEach((home) -> usages.addAll(home.shardHome().teams()));
		Map<String, Long> figures = new TreeMap<>();
		for (TeamUsage usage : TeamUsage.summarize(usages)) {
			String prefix = "admission." + usage.team() + ".";
			figures.put(prefix + "served_ms", (long) usage.servedMillis());
			figures.put(prefix + "waiting", (long) usage.waiting());
			figures.put(prefix + "refused", usage.refused());
		}
		return figures;
	}

	/**
	 * Returns whether this instance is the home of no shard.
	 * @return true if there is no local shard
	 */
	public boolean isEmpty() {
		return this.homes.isEmpty();
	}

	/**
	 * Returns whether a request waits for a decision.
	 * @return true if a reply is pending
	 */
	public boolean hasPendingReplies() {
		return !this.pendingReplies.isEmpty();
	}

	/**
	 * Returns whether a request waits in the queue of a local shard, also one whose
	 * holder was told so and has not sent it again yet.
	 * @return true if a queue is not empty
	 */
	public boolean hasQueuedRequests() {
		return hasPendingReplies()
				|| this.homes.values().stream().anyMatch((home) -> home.shardHome().hasQueuedRequests());
	}

	/**
	 * Returns the homes of the local shards.
	 * @return a copy, by shard
	 */
	public Map<ShardId, ShardHome> homes() {
		Map<ShardId, ShardHome> copy = new HashMap<>();
		this.homes.forEach((shard, home) -> copy.put(shard, home.shardHome()));
		return copy;
	}

	/**
	 * The pending reply to a request.
	 */
	private record PendingReply(Consumer<Message> reply, long receivedMillis) {
	}

	/**
	 * A home and whether any of its endpoints has reported since it took over.
	 */
	private static final class Home {

		private final ShardHome shardHome;

		private volatile boolean reported;

		Home(ShardHome shardHome) {
			this.shardHome = shardHome;
		}

		ShardHome shardHome() {
			return this.shardHome;
		}

		boolean hasReports() {
			return this.reported;
		}

		void recordReports(boolean isReported) {
			this.reported |= isReported;
		}

	}

}
