package org.poplarloom.entry.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;

import reactor.core.publisher.Mono;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.process.HomeSummary;
import org.poplarloom.core.process.ShardId;
import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.entry.process.Clock;
import org.poplarloom.entry.process.HomeSelector;
import org.poplarloom.entry.process.LocalHomes;
import org.poplarloom.entry.process.Peers;
import org.poplarloom.wire.message.Message;

/**
 * Acquires grants from homes, releases them and announces them to new homes. A home is
 * the instance that grants the endpoints of one shard.
 * <p>
 * A request that waits at an instance that has ceased to be the home is sent to another
 * home. Every grant is released exactly once. This class is thread-safe.
 */
public final class GrantClient {

	/**
	 * A home answers a fail-fast request within a few milliseconds; short prompts cannot
	 * wait longer.
	 */
	private static final long FAIL_FAST_TIMEOUT_MILLIS = 150;

	/** A home reports more often than this that a request is still queued. */
	private static final long QUEUED_TIMEOUT_MILLIS = LocalHomes.STILL_QUEUED_REPLY_MILLIS + 300;

	/**
	 * How long a home that did not reply is avoided: the time that membership needs to
	 * detect its failure.
	 */
	private static final long AVOIDANCE_MILLIS = 1_500;

	/**
	 * Parallel prefill is worth a short wait only; a home answers within a few
	 * milliseconds.
	 */
	private static final long PARALLEL_PREFILL_TIMEOUT_MILLIS = 150;

	private static final Duration RETRY_DELAY = Duration.ofMillis(100);

	private static final long MAX_SEARCH_MILLIS = 15_000;

	/** After a start, homes of other zones are heard of within their gossip period. */
	private static final long MAX_HOME_DISCOVERY_MILLIS = 1_500;

	private static final long ANNOUNCE_TIMEOUT_MILLIS = 1_000;

	private static final long MIN_TIMEOUT_MILLIS = 1;

	private final HomeSelector selector;

	private final Peers peers;

	private final Clock clock;

	private final Map<String, HeldGrant> heldGrants = new ConcurrentHashMap<>();

	private final Map<String, PendingRequest> pendingRequests = new ConcurrentHashMap<>();

	private final Map<ShardId, Long> avoidedUntil = new ConcurrentHashMap<>();

	private final Set<ShardId> announcing = ConcurrentHashMap.newKeySet();

	public GrantClient(HomeSelector selector, Peers peers, Clock clock) {
		this.selector = selector;
		this.peers = peers;
		this.clock = clock;
	}

	/**
	 * Acquires a grant. Homes that would have to queue the request are passed over in a
	 * first round; in a second round they may queue it.
	 * @param request the request
	 * @param traceParent the parent span as a {@code traceparent} header value, empty for
	 * none
	 * @return the grant, or an error that says why no home granted the request
	 */
	public Mono<HeldGrant> acquire(GrantRequest request, String traceParent) {
		return Mono.defer(() -> search(request, new Search(this.clock.nowMillis(), traceParent, false)));
	}

	/**
	 * Acquires a grant without queueing.
	 * @param request the request
	 * @return the grant, or an error with code {@code home_busy} if a home refused the
	 * request only because it would have to queue it
	 */
	public Mono<HeldGrant> acquireWithoutQueueing(GrantRequest request) {
		return Mono.defer(() -> search(request, new Search(this.clock.nowMillis(), "", true)));
	}

	/**
	 * Acquires endpoints that prefill one prompt in parallel, from one home after
	 * another.
	 * @param request the request with the minimum and maximum number of endpoints
	 * @return the acquired grants, empty if there are none; in total they have at most
	 * the maximum number of endpoints
	 */
	public Mono<List<HeldGrant>> acquireParallelPrefill(GrantRequest request) {
		return Mono.defer(() -> collectParts(request, this.selector.nearestFirst(), new ArrayList<>()));
	}

	private Mono<List<HeldGrant>> collectParts(GrantRequest request, List<ShardStatus> homes,
			List<HeldGrant> acquired) {
		int endpoints = acquired.stream().mapToInt((grant) -> grant.grant().shares().size()).sum();
		if (homes.isEmpty() || endpoints >= request.parallelPrefill().maxParts()) {
			return Mono.just(acquired);
		}
		ShardStatus home = homes.get(0);
		GrantRequest next = request.forHome(home.shard().toString(), request.parallelPrefill().maxParts() - endpoints);
		return requestParts(next, home).doOnNext(acquired::add)
			.then(Mono.defer(() -> collectParts(request, homes.subList(1, homes.size()), acquired)));
	}

	private Mono<HeldGrant> requestParts(GrantRequest request, ShardStatus home) {
		CompletableFuture<Message> reply = this.peers.request(home.home(), home.address(),
				new Message.AcquireGrant(home.shard(), request, "", this.clock.nowMillis(), true),
				PARALLEL_PREFILL_TIMEOUT_MILLIS);
		return Mono.fromFuture(reply).flatMap((message) -> {
			if (message instanceof Message.GrantAcquired acquired) {
				return Mono.just(recordGrant(request, home, acquired));
			}
			return Mono.<HeldGrant>empty();
		}).onErrorResume((failure) -> {
			withdraw(home, request.key());
			return Mono.empty();
		});
	}

	private HeldGrant recordGrant(GrantRequest request, ShardStatus home, Message.GrantAcquired acquired) {
		long clockDifferenceMillis = request.deadlineMillis() - acquired.grant().request().deadlineMillis();
		HeldGrant grant = new HeldGrant(home, acquired.grant().shifted(clockDifferenceMillis), acquired.addresses(),
				acquired.bootIds());
		this.heldGrants.put(request.key(), grant);
		this.selector.recordGranted(home.shard(), grant.grant().shares().size());
		return grant;
	}

	private Mono<HeldGrant> search(GrantRequest request, Search search) {
		Optional<ShardStatus> chosen = choose(request, search);
		if (chosen.isPresent()) {
			return requestGrant(request, chosen.get(), search);
		}
		if (search.isRefusedAsBusy()) {
			return Mono.error(new PoplarloomException(ErrorCode.HOME_BUSY, "no home starts the request in time"));
		}
		if (search.startQueueingRound()) {
			return search(request, search);
		}
		long now = this.clock.nowMillis();
		boolean isTimeUp = now >= request.deadlineMillis() || now - search.startedMillis >= MAX_SEARCH_MILLIS;
		boolean mayHearOfHomes = now - search.startedMillis < MAX_HOME_DISCOVERY_MILLIS
				&& !this.selector.hasHeardOfAllZones();
		if (isTimeUp || (search.isRefusalFinal() && !mayHearOfHomes)) {
			ErrorCode code = (search.refusalCode != null) ? search.refusalCode : ErrorCode.NO_ENDPOINT;
			return Mono.error(new PoplarloomException(code, org.poplarloom.core.Executed.NO,
					"no home gives a grant: " + code.text(), search.retryAfterMillis));
		}
		search.startNextRound();
		return Mono.delay(RETRY_DELAY).then(Mono.defer(() -> search(request, search)));
	}

	private Optional<ShardStatus> choose(GrantRequest request, Search search) {
		long now = this.clock.nowMillis();
		this.avoidedUntil.values().removeIf((until) -> until <= now);
		Set<ShardId> avoided = new HashSet<>(search.refused);
		avoided.addAll(this.avoidedUntil.keySet());
		Optional<ShardStatus> chosen = choose(request, search, avoided);
		return chosen.isPresent() ? chosen : choose(request, search, search.refused);
	}

	private Optional<ShardStatus> choose(GrantRequest request, Search search, Set<ShardId> avoided) {
		return search.isQueueing() ? this.selector.shortestDelay(avoided, search.delaysMillis)
				: this.selector.choose(avoided, request);
	}

	private Mono<HeldGrant> requestGrant(GrantRequest request, ShardStatus home, Search search) {
		long remaining = Math.max(MIN_TIMEOUT_MILLIS, request.deadlineMillis() - this.clock.nowMillis());
		long timeoutMillis = Math.min(remaining,
				search.isQueueing() ? QUEUED_TIMEOUT_MILLIS : FAIL_FAST_TIMEOUT_MILLIS);
		CompletableFuture<Message> reply = this.peers.request(home.home(), home.address(),
				new Message.AcquireGrant(home.shard(), request, search.traceParent, this.clock.nowMillis(),
						!search.isQueueing()),
				timeoutMillis);
		PendingRequest pending = new PendingRequest(home, reply);
		this.pendingRequests.put(request.key(), pending);
		return Mono.fromFuture(reply)
			.onErrorResume((failure) -> Mono.just(replyForFailure(request, home, failure)))
			.doFinally((signal) -> this.pendingRequests.remove(request.key(), pending))
			.doOnCancel(() -> withdraw(home, request.key()))
			.flatMap((message) -> handleReply(request, home, search, message));
	}

	private Message replyForFailure(GrantRequest request, ShardStatus home, Throwable failure) {
		withdraw(home, request.key());
		if (failure instanceof TimeoutException) {
			this.avoidedUntil.put(home.shard(), this.clock.nowMillis() + AVOIDANCE_MILLIS);
		}
		return new Message.GrantRefused(ErrorCode.NOT_HOME, 0);
	}

	private Mono<HeldGrant> handleReply(GrantRequest request, ShardStatus home, Search search, Message message) {
		if (message instanceof Message.GrantAcquired acquired) {
			return Mono.just(recordGrant(request, home, acquired));
		}
		ErrorCode code = (message instanceof Message.GrantRefused refusal) ? refusal.code() : ErrorCode.INTERNAL;
		if (code == ErrorCode.DEADLINE_EXCEEDED) {
			return Mono.error(new PoplarloomException(code, "the deadline passed before an endpoint was free"));
		}
		if (code == ErrorCode.STILL_QUEUED) {
			return requestElsewhere(request, home, search)
				.switchIfEmpty(Mono.defer(() -> requestGrant(request, home, search)));
		}
		search.recordRefusal(home.shard(), code, message);
		return search(request, search);
	}

	// A home that was unknown or not ready when the request was queued may be idle.
	private Mono<HeldGrant> requestElsewhere(GrantRequest request, ShardStatus queuedAt, Search search) {
		Set<ShardId> excluded = new HashSet<>(search.decided);
		excluded.addAll(this.avoidedUntil.keySet());
		excluded.add(queuedAt.shard());
		Optional<ShardStatus> chosen = this.selector.choose(excluded, request)
			.filter((status) -> !status.home().equals(queuedAt.home()));
		if (chosen.isEmpty()) {
			return Mono.empty();
		}
		ShardStatus other = chosen.get();
		CompletableFuture<Message> reply = this.peers.request(other.home(), other.address(),
				new Message.AcquireGrant(other.shard(), request, search.traceParent, this.clock.nowMillis(), true),
				FAIL_FAST_TIMEOUT_MILLIS);
		return Mono.fromFuture(reply)
			.onErrorResume((failure) -> Mono.just(replyForFailure(request, other, failure)))
			.doOnCancel(() -> {
				withdraw(other, request.key());
				withdraw(queuedAt, request.key());
			})
			.flatMap((message) -> {
				if (message instanceof Message.GrantAcquired acquired) {
					withdraw(queuedAt, request.key());
					return Mono.just(recordGrant(request, other, acquired));
				}
				search.recordDecision(other.shard(), message);
				return Mono.empty();
			});
	}

	private void withdraw(ShardStatus home, String key) {
		this.peers.send(home.home(), home.address(), new Message.Release(home.shard(), key, null));
	}

	/**
	 * Reports to the home that the first token has arrived.
	 * @param grant the grant
	 */
	public void reportFirstToken(HeldGrant grant) {
		HeldGrant current = this.heldGrants.getOrDefault(grant.grant().key(), grant);
		ShardStatus home = current.home();
		this.peers.send(home.home(), home.address(), new Message.FirstToken(home.shard(), grant.grant().key()));
	}

	/**
	 * Reports to the home that an endpoint has prefilled its segment of the prompt.
	 * @param grant the grant
	 * @param segment the index of the segment, from 0
	 */
	public void reportSegmentPrefilled(HeldGrant grant, int segment) {
		HeldGrant current = this.heldGrants.getOrDefault(grant.grant().key(), grant);
		ShardStatus home = current.home();
		this.peers.send(home.home(), home.address(),
				new Message.SegmentPrefilled(home.shard(), grant.grant().key(), segment));
	}

	/**
	 * Tells the home that a granted endpoint has said that it leaves.
	 * @param grant the grant
	 * @param endpoint the endpoint
	 * @param bootId the boot ID of its process
	 */
	public void reportLeaving(HeldGrant grant, EndpointId endpoint, String bootId) {
		ShardStatus home = this.selector.current(grant.home().shard()).orElse(grant.home());
		this.peers.send(home.home(), home.address(), new Message.EndpointLeaving(endpoint, bootId));
	}

	/**
	 * Tells the home that a granted endpoint could not be reached. The grant may have
	 * been released.
	 * @param grant the grant
	 * @param endpoint the endpoint
	 */
	public void reportUnreachable(HeldGrant grant, EndpointId endpoint) {
		ShardStatus home = this.selector.current(grant.home().shard()).orElse(grant.home());
		this.peers.send(home.home(), home.address(), new Message.Release(home.shard(), grant.grant().key(), endpoint));
	}

	/**
	 * Releases a grant.
	 * @param grant the grant; releasing it again has no effect
	 * @param failedEndpoint the endpoint whose process failed, or null
	 */
	public void release(HeldGrant grant, EndpointId failedEndpoint) {
		HeldGrant current = this.heldGrants.remove(grant.grant().key());
		if (current == null) {
			return;
		}
		ShardStatus home = current.home();
		this.selector.recordEnded(home.shard(), current.grant().shares().size());
		Message release = new Message.Release(home.shard(), grant.grant().key(), failedEndpoint);
		this.peers.send(home.home(), home.address(), release);
		this.selector.current(home.shard())
			.filter((next) -> !next.home().equals(home.home()))
			.ifPresent((next) -> this.peers.send(next.home(), next.address(), release));
	}

	/**
	 * Handles changes of home: pending requests are sent to another home, and the grants
	 * that this instance holds are announced to the new home.
	 */
	public void handleHomeChanges() {
		for (PendingRequest pending : this.pendingRequests.values()) {
			if (isNoLongerHome(pending.home())) {
				pending.reply()
					.completeExceptionally(new PoplarloomException(ErrorCode.NOT_HOME,
							"the home of shard " + pending.home().shard() + " has changed"));
			}
		}
		Map<ShardStatus, List<Grant>> grantsByNewHome = new HashMap<>();
		for (HeldGrant grant : this.heldGrants.values()) {
			this.selector.current(grant.home().shard())
				.filter((current) -> !current.home().equals(grant.home().home()))
				.ifPresent(
						(current) -> grantsByNewHome.computeIfAbsent(withoutLoad(current), (key) -> new ArrayList<>())
							.add(grant.grant()));
		}
		grantsByNewHome.forEach(this::announce);
	}

	private static ShardStatus withoutLoad(ShardStatus status) {
		return new ShardStatus(status.shard(), status.home(), status.address(), 0, HomeSummary.UNKNOWN);
	}

	// Repeated by each call of handleHomeChanges() until the new home has accepted the
	// grants.
	private void announce(ShardStatus home, List<Grant> grants) {
		if (!this.announcing.add(home.shard())) {
			return;
		}
		this.peers
			.request(home.home(), home.address(),
					new Message.AnnounceGrants(home.shard(), grants, this.clock.nowMillis()), ANNOUNCE_TIMEOUT_MILLIS)
			.whenComplete((reply, failure) -> {
				this.announcing.remove(home.shard());
				if (reply instanceof Message.Acknowledgement acknowledgement && acknowledgement.isAccepted()) {
					grants.forEach((grant) -> this.heldGrants.computeIfPresent(grant.key(),
							(key, value) -> value.withHome(home)));
				}
			});
	}

	private boolean isNoLongerHome(ShardStatus home) {
		return this.selector.current(home.shard()).map((current) -> !current.home().equals(home.home())).orElse(true);
	}

	/**
	 * Returns the number of grants that this instance holds.
	 * @return the number, 0 or more
	 */
	public int heldCount() {
		return this.heldGrants.size();
	}

	/**
	 * A grant request that waits for a home's reply.
	 */
	private record PendingRequest(ShardStatus home, CompletableFuture<Message> reply) {
	}

	/**
	 * The state of one search for a grant.
	 */
	private static final class Search {

		private final long startedMillis;

		private final String traceParent;

		private final Set<ShardId> refused = new HashSet<>();

		private ErrorCode refusalCode;

		private long retryAfterMillis;

		private final Map<ShardId, Long> delaysMillis = new HashMap<>();

		/** The shards whose homes were ready to decide, and have refused the request. */
		private final Set<ShardId> decided = new HashSet<>();

		private boolean sawHomeChange;

		private boolean queueing;

		private final boolean failFast;

		Search(long startedMillis, String traceParent, boolean failFast) {
			this.failFast = failFast;
			this.startedMillis = startedMillis;
			this.traceParent = traceParent;
		}

		void recordRefusal(ShardId shard, ErrorCode code, Message message) {
			this.refused.add(shard);
			recordDecision(shard, message);
			if (code == ErrorCode.HOME_BUSY) {
				return;
			}
			this.sawHomeChange |= code == ErrorCode.NOT_HOME || code == ErrorCode.ZONE_OUT;
			if (this.refusalCode == null || code != ErrorCode.NOT_HOME) {
				this.refusalCode = code;
			}
			if (message instanceof Message.GrantRefused refusal) {
				this.retryAfterMillis = refusal.retryAfterMillis();
			}
		}

		void recordDecision(ShardId shard, Message message) {
			if (!(message instanceof Message.GrantRefused refusal)) {
				return;
			}
			if (refusal.code() != ErrorCode.NOT_HOME && refusal.code() != ErrorCode.ZONE_OUT) {
				this.decided.add(shard);
			}
			if (refusal.code() == ErrorCode.HOME_BUSY) {
				this.delaysMillis.put(shard, refusal.retryAfterMillis());
			}
		}

		boolean isQueueing() {
			return this.queueing;
		}

		boolean isRefusedAsBusy() {
			return this.failFast && !this.delaysMillis.isEmpty();
		}

		// Resends the request to homes that were only busy; these may now queue it.
		boolean startQueueingRound() {
			if (this.queueing || this.delaysMillis.isEmpty()) {
				return false;
			}
			this.queueing = true;
			this.refused.removeAll(this.delaysMillis.keySet());
			return true;
		}

		boolean isRefusalFinal() {
			return !this.refused.isEmpty() && !this.sawHomeChange;
		}

		void startNextRound() {
			this.refused.clear();
			this.sawHomeChange = false;
		}

	}

}
