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
import org.poplarloom.entry.process.HomeTable;
import org.poplarloom.entry.process.Peers;
import org.poplarloom.wire.message.Message;

/**
 * Gets grants from homes, gives them back and tells new homes about them.
 * <p>
 * A request that waits at a home that is no longer the home asks again. Every grant is
 * released exactly once. This class is thread-safe.
 */
public final class GrantClient {

	/**
	 * A home answers a trial within some milliseconds; short prompts cannot wait longer.
	 */
	private static final long TRIAL_TIMEOUT_MILLIS = 150;

	/** A home that has queued a request says so more often than that. */
	private static final long QUEUE_TIMEOUT_MILLIS = HomeTable.QUEUE_NOTICE_MILLIS + 300;

	/** Time for membership to notice that a home is gone. */
	private static final long SILENCE_MILLIS = 1_500;

	/** Parts are worth a short wait only; a home answers within some milliseconds. */
	private static final long PARTS_TIMEOUT_MILLIS = 150;

	private static final Duration RETRY_DELAY = Duration.ofMillis(100);

	private static final long LONGEST_SEARCH_MILLIS = 15_000;

	private static final long ANNOUNCE_TIMEOUT_MILLIS = 1_000;

	private static final long SHORTEST_WAIT_MILLIS = 1;

	private final HomeSelector selector;

	private final Peers peers;

	private final Clock clock;

	private final Map<String, HeldGrant> held = new ConcurrentHashMap<>();

	private final Map<String, PendingAsk> pending = new ConcurrentHashMap<>();

	private final Map<ShardId, Long> silent = new ConcurrentHashMap<>();

	private final Set<ShardId> announcing = ConcurrentHashMap.newKeySet();

	public GrantClient(HomeSelector selector, Peers peers, Clock clock) {
		this.selector = selector;
		this.peers = peers;
		this.clock = clock;
	}

	/**
	 * Gets a grant from the best home that gives one.
	 * @param request the request
	 * @param traceParent the parent span in header form, empty for none
	 * @return the grant, or an error that says why no home gives one
	 */
	public Mono<HeldGrant> acquire(GrantRequest request, String traceParent) {
		return Mono.defer(() -> search(request, new Search(this.clock.nowMillis(), traceParent, true)));
	}

	/**
	 * Gets a grant from a home that starts the request in time.
	 * @param request the request
	 * @return the grant, or an error with code {@code home_busy} if another way may be
	 * better than to wait
	 */
	public Mono<HeldGrant> acquirePromptly(GrantRequest request) {
		return Mono.defer(() -> search(request, new Search(this.clock.nowMillis(), "", false)));
	}

	/**
	 * Gets endpoints for parts of a prompt, from one home after another.
	 * @param request the request with the parts that it wants
	 * @return the grants that homes gave, which together hold at most the wanted parts
	 */
	public Mono<List<HeldGrant>> acquireParts(GrantRequest request) {
		return Mono.defer(() -> collect(request, this.selector.nearestFirst(), new ArrayList<>()));
	}

	private Mono<List<HeldGrant>> collect(GrantRequest request, List<ShardStatus> homes, List<HeldGrant> found) {
		int held = found.stream().mapToInt((grant) -> grant.grant().shares().size()).sum();
		if (homes.isEmpty() || held >= request.parts().most()) {
			return Mono.just(found);
		}
		GrantRequest next = request.withPartsFrom(homes.get(0).shard().toString(), request.parts().most() - held);
		return askOnce(next, homes.get(0)).doOnNext(found::add)
			.then(Mono.defer(() -> collect(request, homes.subList(1, homes.size()), found)));
	}

	private Mono<HeldGrant> askOnce(GrantRequest request, ShardStatus home) {
		CompletableFuture<Message> reply = this.peers.request(home.home(), home.address(),
				new Message.GrantAsk(home.shard(), request, "", this.clock.nowMillis(), true), PARTS_TIMEOUT_MILLIS);
		return Mono.fromFuture(reply).flatMap((message) -> {
			if (message instanceof Message.GrantGiven given) {
				return Mono.just(hold(request, home, given));
			}
			return Mono.<HeldGrant>empty();
		}).onErrorResume((failure) -> {
			withdraw(home, request.key());
			return Mono.empty();
		});
	}

	private HeldGrant hold(GrantRequest request, ShardStatus home, Message.GrantGiven given) {
		long shift = request.deadlineMillis() - given.grant().request().deadlineMillis();
		HeldGrant grant = new HeldGrant(home, given.grant().shifted(shift), given.addresses(), given.bootIds());
		this.held.put(request.key(), grant);
		return grant;
	}

	private Mono<HeldGrant> search(GrantRequest request, Search search) {
		Optional<ShardStatus> chosen = choose(search);
		if (chosen.isPresent()) {
			return ask(request, chosen.get(), search);
		}
		if (search.isBusyEverywhere()) {
			return Mono.error(new PoplarloomException(ErrorCode.HOME_BUSY, "no home starts the request in time"));
		}
		if (search.startPatientRound()) {
			return search(request, search);
		}
		long now = this.clock.nowMillis();
		boolean isOver = now >= request.deadlineMillis() || now - search.startedMillis >= LONGEST_SEARCH_MILLIS;
		if (isOver || search.isFinal()) {
			ErrorCode code = (search.refusal != null) ? search.refusal : ErrorCode.NO_ENDPOINT;
			return Mono.error(new PoplarloomException(code, org.poplarloom.core.Executed.NO,
					"no home gives a grant: " + code.text(), search.retryAfterMillis));
		}
		search.startRound();
		return Mono.delay(RETRY_DELAY).then(Mono.defer(() -> search(request, search)));
	}

	private Optional<ShardStatus> choose(Search search) {
		long now = this.clock.nowMillis();
		this.silent.values().removeIf((until) -> until <= now);
		Set<ShardId> avoided = new HashSet<>(search.refused);
		avoided.addAll(this.silent.keySet());
		Optional<ShardStatus> chosen = choose(search, avoided);
		return chosen.isPresent() ? chosen : choose(search, search.refused);
	}

	private Optional<ShardStatus> choose(Search search, Set<ShardId> avoided) {
		return search.isPatient() ? this.selector.least(avoided, search.delays) : this.selector.choose(avoided);
	}

	private Mono<HeldGrant> ask(GrantRequest request, ShardStatus home, Search search) {
		long left = Math.max(SHORTEST_WAIT_MILLIS, request.deadlineMillis() - this.clock.nowMillis());
		long waitMillis = Math.min(left, search.isPatient() ? QUEUE_TIMEOUT_MILLIS : TRIAL_TIMEOUT_MILLIS);
		CompletableFuture<Message> reply = this.peers.request(home.home(), home.address(), new Message.GrantAsk(
				home.shard(), request, search.traceParent, this.clock.nowMillis(), !search.isPatient()), waitMillis);
		PendingAsk ask = new PendingAsk(home, reply);
		this.pending.put(request.key(), ask);
		return Mono.fromFuture(reply)
			.onErrorResume((failure) -> Mono.just(noAnswer(request, home, failure)))
			.doFinally((signal) -> this.pending.remove(request.key(), ask))
			.doOnCancel(() -> withdraw(home, request.key()))
			.flatMap((message) -> decide(request, home, search, message));
	}

	private Message noAnswer(GrantRequest request, ShardStatus home, Throwable failure) {
		withdraw(home, request.key());
		if (failure instanceof TimeoutException) {
			this.silent.put(home.shard(), this.clock.nowMillis() + SILENCE_MILLIS);
		}
		return new Message.GrantDenied(ErrorCode.NOT_HOME, 0);
	}

	private Mono<HeldGrant> decide(GrantRequest request, ShardStatus home, Search search, Message message) {
		if (message instanceof Message.GrantGiven given) {
			return Mono.just(hold(request, home, given));
		}
		ErrorCode code = (message instanceof Message.GrantDenied denied) ? denied.code() : ErrorCode.INTERNAL;
		if (code == ErrorCode.DEADLINE_EXCEEDED) {
			return Mono.error(new PoplarloomException(code, "the deadline passed before an endpoint was free"));
		}
		if (code == ErrorCode.STILL_QUEUED) {
			return ask(request, home, search);
		}
		search.refuse(home.shard(), code, message);
		return search(request, search);
	}

	private void withdraw(ShardStatus home, String key) {
		this.peers.send(home.home(), home.address(), new Message.Release(home.shard(), key, null));
	}

	/**
	 * Tells the home that the first token has arrived.
	 * @param grant the grant
	 */
	public void firstToken(HeldGrant grant) {
		HeldGrant current = this.held.getOrDefault(grant.grant().key(), grant);
		ShardStatus home = current.home();
		this.peers.send(home.home(), home.address(), new Message.FirstToken(home.shard(), grant.grant().key()));
	}

	/**
	 * Tells the home that an endpoint has prefilled its part of the prompt.
	 * @param grant the grant
	 * @param segment the part, counted from 0
	 */
	public void segmentDone(HeldGrant grant, int segment) {
		HeldGrant current = this.held.getOrDefault(grant.grant().key(), grant);
		ShardStatus home = current.home();
		this.peers.send(home.home(), home.address(),
				new Message.SegmentDone(home.shard(), grant.grant().key(), segment));
	}

	/**
	 * Gives a grant back.
	 * @param grant the grant; releasing it again does nothing
	 * @param failedEndpoint the endpoint whose process failed, or null
	 */
	public void release(HeldGrant grant, EndpointId failedEndpoint) {
		HeldGrant current = this.held.remove(grant.grant().key());
		if (current == null) {
			return;
		}
		ShardStatus home = current.home();
		Message release = new Message.Release(home.shard(), grant.grant().key(), failedEndpoint);
		this.peers.send(home.home(), home.address(), release);
		this.selector.current(home.shard())
			.filter((next) -> !next.home().equals(home.home()))
			.ifPresent((next) -> this.peers.send(next.home(), next.address(), release));
	}

	/**
	 * Follows changes of home: waiting requests ask again and grants are announced.
	 */
	public void followHomes() {
		for (PendingAsk ask : this.pending.values()) {
			if (hasMoved(ask.home())) {
				ask.reply().completeExceptionally(new PoplarloomException(ErrorCode.NOT_HOME, "home has moved"));
			}
		}
		Map<ShardStatus, List<Grant>> moved = new HashMap<>();
		for (HeldGrant grant : this.held.values()) {
			this.selector.current(grant.home().shard())
				.filter((current) -> !current.home().equals(grant.home().home()))
				.ifPresent((current) -> moved.computeIfAbsent(withoutLoad(current), (key) -> new ArrayList<>())
					.add(grant.grant()));
		}
		moved.forEach(this::announce);
	}

	private static ShardStatus withoutLoad(ShardStatus status) {
		return new ShardStatus(status.shard(), status.home(), status.address(), 0, HomeSummary.UNKNOWN);
	}

	// Repeated with each round until the new home has taken the grants over.
	private void announce(ShardStatus home, List<Grant> grants) {
		if (!this.announcing.add(home.shard())) {
			return;
		}
		this.peers
			.request(home.home(), home.address(), new Message.Announce(home.shard(), grants, this.clock.nowMillis()),
					ANNOUNCE_TIMEOUT_MILLIS)
			.whenComplete((reply, failure) -> {
				this.announcing.remove(home.shard());
				if (reply instanceof Message.Announced announced && announced.isTaken()) {
					grants.forEach(
							(grant) -> this.held.computeIfPresent(grant.key(), (key, value) -> value.withHome(home)));
				}
			});
	}

	private boolean hasMoved(ShardStatus home) {
		return this.selector.current(home.shard()).map((current) -> !current.home().equals(home.home())).orElse(true);
	}

	/**
	 * Returns the number of grants in use.
	 * @return a number from 0
	 */
	public int heldCount() {
		return this.held.size();
	}

	/**
	 * A request that waits for a home's decision.
	 */
	private record PendingAsk(ShardStatus home, CompletableFuture<Message> reply) {
	}

	/**
	 * The progress of one search for a grant.
	 */
	private static final class Search {

		private final long startedMillis;

		private final String traceParent;

		private final Set<ShardId> refused = new HashSet<>();

		private ErrorCode refusal;

		private long retryAfterMillis;

		private final Map<ShardId, Long> delays = new HashMap<>();

		private boolean sawMovingHome;

		private boolean patient;

		private final boolean mayWait;

		Search(long startedMillis, String traceParent, boolean mayWait) {
			this.mayWait = mayWait;
			this.startedMillis = startedMillis;
			this.traceParent = traceParent;
		}

		void refuse(ShardId shard, ErrorCode code, Message message) {
			this.refused.add(shard);
			if (code == ErrorCode.HOME_BUSY && message instanceof Message.GrantDenied denied) {
				this.delays.put(shard, denied.retryAfterMillis());
				return;
			}
			this.sawMovingHome |= code == ErrorCode.NOT_HOME || code == ErrorCode.ZONE_OUT;
			if (this.refusal == null || code != ErrorCode.NOT_HOME) {
				this.refusal = code;
			}
			if (message instanceof Message.GrantDenied denied) {
				this.retryAfterMillis = denied.retryAfterMillis();
			}
		}

		boolean isPatient() {
			return this.patient;
		}

		boolean isBusyEverywhere() {
			return !this.mayWait && !this.delays.isEmpty();
		}

		// Homes that were only busy are asked once more, to queue the request.
		boolean startPatientRound() {
			if (this.patient || this.delays.isEmpty()) {
				return false;
			}
			this.patient = true;
			this.refused.removeAll(this.delays.keySet());
			return true;
		}

		boolean isFinal() {
			return !this.refused.isEmpty() && !this.sawMovingHome;
		}

		void startRound() {
			this.refused.clear();
			this.sawMovingHome = false;
		}

	}

}
