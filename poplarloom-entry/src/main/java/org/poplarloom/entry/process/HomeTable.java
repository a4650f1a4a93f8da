package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
import org.poplarloom.core.process.EndpointReport;
import org.poplarloom.core.process.HomeDecision;
import org.poplarloom.core.process.HomeSummary;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.MembershipTable;
import org.poplarloom.core.process.PlacementPolicy;
import org.poplarloom.core.process.ShardHome;
import org.poplarloom.core.process.ShardId;
import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;
import org.poplarloom.core.version.ConfigurationState;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.version.ConfigurationKeeper;
import org.poplarloom.port.EndpointPort;
import org.poplarloom.wire.message.Message;

/**
 * The shards of which this instance is the home.
 * <p>
 * Each request that a home has queued has exactly one waiting reply. This class is
 * thread-safe; no lock is held while a home's lock is taken.
 */
public final class HomeTable {

	private static final Logger logger = LoggerFactory.getLogger(HomeTable.class);

	/** How often a home tells an instance that its request is still queued. */
	public static final long QUEUE_NOTICE_MILLIS = 500;

	private static final long HOLDER_GRACE_MILLIS = 10_000;

	private final Settings settings;

	private final MembershipTable membership;

	private final EndpointDirectory directory;

	private final EndpointPort endpoints;

	private final InstanceView instances;

	private final ConfigurationKeeper keeper;

	private final Clock clock;

	private final Supplier<PlacementPolicy> placements;

	private final Map<ShardId, Home> homes = new ConcurrentHashMap<>();

	private final Map<String, Waiter> waiting = new ConcurrentHashMap<>();

	private final Map<InstanceId, Long> lastLive = new ConcurrentHashMap<>();

	public HomeTable(Settings settings, MembershipTable membership, EndpointDirectory directory, EndpointPort endpoints,
			InstanceView instances, ConfigurationKeeper keeper, Clock clock, Supplier<PlacementPolicy> placements) {
		this.placements = placements;
		this.endpoints = endpoints;
		this.instances = instances;
		this.settings = settings;
		this.membership = membership;
		this.directory = directory;
		this.keeper = keeper;
		this.clock = clock;
		keeper.listen(this::apply);
	}

	private void apply(ConfigurationState state) {
		boolean isOut = state.isZoneOut(this.settings.zone());
		long now = this.clock.nowMillis();
		this.homes.values().forEach((home) -> dispatch(home.shardHome().setOut(isOut, now)));
	}

	/**
	 * Takes over and gives up shards as membership says and frees what ended instances
	 * held.
	 */
	public void followMembership() {
		long now = this.clock.nowMillis();
		for (int index = 0; index < this.settings.shardsPerZone(); index++) {
			update(new ShardId(this.settings.zone(), index), now);
		}
		if (!this.homes.isEmpty()) {
			releaseEnded(now);
		}
	}

	/**
	 * Ends what is overdue in the own shards.
	 */
	public void tick() {
		long now = this.clock.nowMillis();
		this.homes.values().forEach((home) -> dispatch(home.shardHome().tick(now)));
		this.waiting.forEach((key, waiter) -> {
			if (now - waiter.sinceMillis() >= QUEUE_NOTICE_MILLIS) {
				reply(key, new Message.GrantDenied(ErrorCode.STILL_QUEUED, 0));
			}
		});
	}

	/**
	 * Writes to the log why requests wait.
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

	private void update(ShardId shard, long now) {
		Optional<Member> chosen = this.membership.home(shard, now);
		boolean isHome = chosen.isPresent() && chosen.get().id().equals(this.settings.instance());
		Home known = this.homes.get(shard);
		if (isHome && known == null) {
			logger.info("taking over shard {}", shard);
			ShardHome home = ShardHome.of(this.placements.get(), this.settings.ramp(),
					now + this.settings.settleMillis());
			home.setOut(this.keeper.state().isZoneOut(shard.zone()), now);
			this.homes.put(shard, new Home(home));
		}
		else if (!isHome && known != null) {
			logger.info("giving up shard {} to {}", shard, chosen.map(Member::id).orElse(null));
			this.homes.remove(shard);
			dispatch(known.shardHome().resign());
		}
	}

	private void releaseEnded(long now) {
		this.instances.possibleHolders().forEach((instance) -> this.lastLive.put(instance, now));
		for (Map.Entry<InstanceId, Long> entry : this.lastLive.entrySet()) {
			if (entry.getValue() + HOLDER_GRACE_MILLIS < now) {
				this.lastLive.remove(entry.getKey());
				this.homes.values().forEach((home) -> dispatch(home.shardHome().releaseHolder(entry.getKey(), now)));
			}
		}
	}

	/**
	 * Asks the endpoints of all own shards for new reports.
	 * @return completes when all have answered or failed
	 */
	public Mono<Void> poll() {
		return Flux.fromIterable(this.homes.entrySet())
			.flatMap((entry) -> this.directory
				.poll(entry.getKey(), this.settings.shardsPerZone(),
						(endpoint) -> entry.getValue().shardHome().isPollDue(endpoint, this.clock.nowMillis()))
				.doOnNext((reports) -> observe(entry.getValue(), reports)))
			.then();
	}

	/**
	 * Asks the endpoints of all own shards what they have run.
	 * @param usage takes the totals
	 * @return completes when all have answered or failed
	 */
	public Mono<Void> pollUsage(UsagePublisher usage) {
		return Flux.fromIterable(this.homes.values())
			.flatMapIterable((home) -> home.shardHome().endpoints())
			.filter((endpoint) -> this.directory.address(endpoint) != null)
			.flatMap((endpoint) -> Mono.from(this.endpoints.usage(this.directory.address(endpoint)))
				.doOnNext((totals) -> usage.report(endpoint, totals))
				.onErrorResume((failure) -> Mono.empty()))
			.then();
	}

	private void observe(Home home, List<EndpointReport> reports) {
		Set<EndpointId> out = new HashSet<>();
		for (EndpointReport report : reports) {
			if (this.keeper.configuration().isEndpointOut(report.endpoint())) {
				out.add(report.endpoint());
			}
		}
		List<HomeDecision> decisions = home.shardHome().observe(reports, out, this.clock.nowMillis());
		home.shardHome().raiseFence(this.settings.instance());
		home.markObserved(!reports.isEmpty());
		dispatch(decisions);
		home.shardHome().orphans(this.clock.nowMillis()).forEach(this::free);
	}

	private void free(ShardHome.Orphan orphan) {
		String address = this.directory.address(orphan.endpoint());
		if (address != null) {
			logger.info("freeing {} on {}, which nobody holds", orphan.key(), orphan.endpoint());
			Mono.from(this.endpoints.cancel(address, orphan.key())).onErrorComplete().subscribe();
		}
	}

	/**
	 * Decides about a request now or later.
	 * @param holder the instance that asks
	 * @param shard the shard
	 * @param request the request
	 * @param isTrial whether the request is refused rather than queued
	 * @param reply takes the decision
	 */
	public void ask(InstanceId holder, ShardId shard, GrantRequest request, boolean isTrial, Consumer<Message> reply) {
		Home home = this.homes.get(shard);
		if (home == null || !home.isObserved()) {
			reply.accept(new Message.GrantDenied(ErrorCode.NOT_HOME, 0));
			return;
		}
		this.waiting.put(request.key(), new Waiter(reply, this.clock.nowMillis()));
		GrantDecision decision = home.shardHome().request(holder, request, !isTrial, this.clock.nowMillis());
		if (!(decision instanceof GrantDecision.Queued)) {
			dispatch(List.of(new HomeDecision(holder, decision)));
		}
	}

	/**
	 * Notes the first token of a granted request.
	 * @param shard the shard
	 * @param key the identity of the grant
	 */
	public void firstToken(ShardId shard, String key) {
		Home home = this.homes.get(shard);
		if (home != null) {
			dispatch(home.shardHome().firstToken(key, this.clock.nowMillis()));
		}
	}

	/**
	 * Notes that an endpoint has prefilled its part of a long prompt.
	 * @param shard the shard
	 * @param key the identity of the grant
	 * @param segment the part, counted from 0
	 */
	public void segmentDone(ShardId shard, String key, int segment) {
		Home home = this.homes.get(shard);
		if (home != null) {
			dispatch(home.shardHome().segmentDone(key, segment, this.clock.nowMillis()));
		}
	}

	/**
	 * Ends a grant.
	 * @param shard the shard
	 * @param key the identity of the grant
	 * @param failedEndpoint the endpoint whose process failed, or null
	 */
	public void release(ShardId shard, String key, EndpointId failedEndpoint) {
		Home home = this.homes.get(shard);
		this.waiting.remove(key);
		if (home != null) {
			dispatch(home.shardHome().release(key, this.clock.nowMillis()));
			if (failedEndpoint != null) {
				home.shardHome().doubt(failedEndpoint, this.clock.nowMillis());
				poll().subscribe();
			}
		}
	}

	/**
	 * Takes over grants of a previous home.
	 * @param holder the instance that holds them
	 * @param shard the shard
	 * @param grants the grants
	 * @return whether this instance is the home; if not, the holder has to try again
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
	 * Describes the own shards for other instances.
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

	private void dispatch(List<HomeDecision> decisions) {
		for (HomeDecision decision : decisions) {
			if (decision.decision() instanceof GrantDecision.Granted granted) {
				reply(granted.grant().key(), given(granted.grant()));
			}
			else if (decision.decision() instanceof GrantDecision.Refused refused) {
				reply(Grant.key(refused.requestId(), refused.attempt()),
						new Message.GrantDenied(refused.code(), refused.retryAfterMillis()));
			}
		}
	}

	private void reply(String key, Message message) {
		Waiter waiter = this.waiting.remove(key);
		if (waiter != null) {
			waiter.reply().accept(message);
		}
	}

	private Message.GrantGiven given(Grant grant) {
		List<String> addresses = new ArrayList<>();
		List<String> boots = new ArrayList<>();
		for (Share share : grant.shares()) {
			addresses.add(String.valueOf(this.directory.address(share.endpoint())));
			boots.add(this.directory.bootId(share.endpoint()));
		}
		return new Message.GrantGiven(grant, addresses, boots);
	}

	/**
	 * Returns the own shards.
	 * @return the homes by shard
	 */
	public Map<ShardId, ShardHome> homes() {
		Map<ShardId, ShardHome> copy = new HashMap<>();
		this.homes.forEach((shard, home) -> copy.put(shard, home.shardHome()));
		return copy;
	}

	/**
	 * The instance that waits for a decision.
	 */
	private record Waiter(Consumer<Message> reply, long sinceMillis) {
	}

	/**
	 * A home and whether its endpoints have reported yet.
	 */
	private static final class Home {

		private final ShardHome shardHome;

		private volatile boolean observed;

		Home(ShardHome shardHome) {
			this.shardHome = shardHome;
		}

		ShardHome shardHome() {
			return this.shardHome;
		}

		boolean isObserved() {
			return this.observed;
		}

		void markObserved(boolean hasReports) {
			this.observed |= hasReports;
		}

	}

}
