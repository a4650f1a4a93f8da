package org.poplarloom.entry.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.EndpointId;
import org.poplarloom.port.EndpointEntry;

/**
 * Whether this instance can reach endpoints at all.
 * <p>
 * Only what an endpoint sends proves that it is reached: what stands in between may open
 * connections for it. The link counts as lost when two endpoints in a row, one of them in
 * the local zone, cannot be connected to or leave a new connection without an answer, and
 * none has sent anything since some time before. A single endpoint that fails is that
 * endpoint's failure, and those of other zones are where the zone is cut off. From the
 * first connection without an answer on, the link is in doubt, until an endpoint sends
 * something.
 * <p>
 * While the link is in doubt or lost, and while responses are awaited and nothing arrives
 * from any endpoint, endpoints are asked for their status to find out. This class is not
 * thread-safe; the event loop guards it.
 */
final class EndpointLink {

	/** Longer than endpoints usually stay silent together. */
	static final long SILENCE_MILLIS = 400;

	/**
	 * So long a silence is not explained by a connection that can be opened. Until then
	 * no endpoint is asked for its status, which costs more.
	 */
	private static final long LONG_SILENCE_MILLIS = 2 * SILENCE_MILLIS;

	private static final long PROBE_PERIOD_MILLIS = 500;

	private static final int MIN_FAILED = 2;

	/** Older failures say nothing about the present. */
	private static final long SUSPICION_MILLIS = 1_000;

	private static final Logger logger = LoggerFactory.getLogger(EndpointLink.class);

	private final AvailabilityZone localZone;

	private final Supplier<List<EndpointEntry>> endpoints;

	private final Prober prober;

	private final ScheduledExecutorService scheduler;

	private final LongSupplier nowMillis;

	private final Runnable onLost;

	/** When each exchange in progress was started. */
	private final Map<Object, Awaited> awaited = new HashMap<>();

	/**
	 * The endpoints that could not be connected to since one could, or has sent
	 * something.
	 */
	private final Set<EndpointId> unreachable = new HashSet<>();

	/** The endpoints that left a new connection without an answer since then. */
	private final Set<EndpointId> unanswering = new HashSet<>();

	/** The same since a connection could be opened, with what is to be done then. */
	private final Map<EndpointId, Suspect> suspects = new HashMap<>();

	/** When an endpoint last sent something. */
	private long contactMillis;

	/** When a connection could last be opened. */
	private long connectedMillis;

	private long lostMillis;

	private boolean lost;

	private boolean probing;

	private boolean checkScheduled;

	private boolean investigationScheduled;

	/**
	 * Creates a link that counts as sound.
	 * @param localZone the zone of this instance
	 * @param endpoints supplies the endpoints
	 * @param prober finds out whether endpoints can be reached
	 * @param scheduler runs the checks, on the event loop
	 * @param nowMillis supplies the time in milliseconds
	 * @param onLost runs when the link is lost
	 */
	EndpointLink(AvailabilityZone localZone, Supplier<List<EndpointEntry>> endpoints, Prober prober,
			ScheduledExecutorService scheduler, LongSupplier nowMillis, Runnable onLost) {
		this.localZone = localZone;
		this.endpoints = endpoints;
		this.prober = prober;
		this.scheduler = scheduler;
		this.nowMillis = nowMillis;
		this.onLost = onLost;
		this.contactMillis = nowMillis.getAsLong();
		this.connectedMillis = this.contactMillis;
	}

	/**
	 * Returns whether no endpoint can be reached.
	 * @return true until an endpoint sends something
	 */
	boolean isLost() {
		return this.lost;
	}

	/**
	 * Returns whether a request that can run once might be lost on the way.
	 * @return true from the first new connection without an answer until an endpoint
	 * sends something
	 */
	boolean isInDoubt() {
		return this.lost || !this.unanswering.isEmpty();
	}

	/**
	 * Records that an endpoint is expected to send something.
	 * @param exchange identifies the exchange
	 * @param endpoint the endpoint
	 * @param address its host and port
	 */
	void startAwaiting(Object exchange, EndpointId endpoint, String address) {
		this.awaited.put(exchange, new Awaited(endpoint, address, this.nowMillis.getAsLong()));
		if (!this.checkScheduled) {
			this.checkScheduled = true;
			this.scheduler.schedule(this::check, SILENCE_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Records that nothing more is expected.
	 * @param exchange the exchange
	 */
	void stopAwaiting(Object exchange) {
		this.awaited.remove(exchange);
	}

	/**
	 * Records that an endpoint has sent something.
	 * @param endpoint the endpoint
	 * @param isNewConnection whether the connection was opened for this
	 */
	void recordContact(EndpointId endpoint, boolean isNewConnection) {
		this.contactMillis = this.nowMillis.getAsLong();
		this.unreachable.clear();
		this.unanswering.clear();
		if (isNewConnection) {
			blameSuspects(endpoint);
		}
		if (this.lost) {
			this.lost = false;
			logger.info("event=endpoint_link_regained after_ms={}", this.contactMillis - this.lostMillis);
		}
	}

	private void recordConnected(EndpointId endpoint) {
		this.connectedMillis = this.nowMillis.getAsLong();
		this.unreachable.clear();
		blameSuspects(endpoint);
	}

	private void blameSuspects(EndpointId reached) {
		this.suspects.remove(reached);
		long oldestMillis = this.nowMillis.getAsLong() - SUSPICION_MILLIS;
		List<Suspect> blamed = this.suspects.values()
			.stream()
			.filter((suspect) -> suspect.sinceMillis() >= oldestMillis)
			.toList();
		this.suspects.clear();
		blamed.forEach((suspect) -> suspect.onBlame().run());
	}

	/**
	 * Records that a connection to an endpoint could not be opened. Which side has failed
	 * shows when another connection is opened.
	 * @param endpoint the endpoint
	 * @param onBlame runs if the endpoint has failed rather than the link
	 */
	void recordUnreachable(EndpointId endpoint, Runnable onBlame) {
		this.unreachable.add(endpoint);
		long now = this.nowMillis.getAsLong();
		this.suspects.put(endpoint, new Suspect(now, onBlame));
		if (now - Math.max(this.contactMillis, this.connectedMillis) >= SILENCE_MILLIS) {
			declareLostOr(this::probeAny);
		}
	}

	/**
	 * Records that a connection to an endpoint ended before the endpoint sent anything on
	 * it. One that was opened before the last contact says nothing about the link, since
	 * a single reset can end all that are open.
	 * @param endpoint the endpoint
	 * @param connectionAgeMillis how long ago the connection was opened, in milliseconds
	 */
	void recordUnanswered(EndpointId endpoint, long connectionAgeMillis) {
		if (connectionAgeMillis > this.nowMillis.getAsLong() - this.contactMillis) {
			return;
		}
		this.unanswering.add(endpoint);
		investigate();
	}

	// The silence of the endpoints may just have begun.
	private void investigate() {
		if (this.unanswering.isEmpty() || this.investigationScheduled) {
			return;
		}
		long remainingMillis = this.contactMillis + SILENCE_MILLIS - this.nowMillis.getAsLong();
		if (remainingMillis <= 0) {
			declareLostOr(this::askAnyForStatus);
			return;
		}
		this.investigationScheduled = true;
		this.scheduler.schedule(() -> {
			this.investigationScheduled = false;
			investigate();
		}, remainingMillis, TimeUnit.MILLISECONDS);
	}

	private void declareLostOr(Runnable nextProbe) {
		if (this.lost) {
			return;
		}
		if (isEnoughFailed()) {
			long now = this.nowMillis.getAsLong();
			this.lost = true;
			this.lostMillis = now;
			this.suspects.clear();
			logger.warn("event=endpoint_link_lost silent_ms={} unreachable={} unanswering={}", now - this.contactMillis,
					this.unreachable, this.unanswering);
			this.onLost.run();
			askWhileLost();
		}
		else if (!this.probing) {
			nextProbe.run();
		}
	}

	private boolean isEnoughFailed() {
		List<EndpointEntry> known = this.endpoints.get();
		List<EndpointEntry> local = known.stream().filter(this::isLocal).toList();
		boolean isLocalFailed = local.isEmpty() || local.stream().anyMatch(this::hasFailed);
		Set<EndpointId> failed = new HashSet<>(this.unreachable);
		failed.addAll(this.unanswering);
		return isLocalFailed && failed.size() >= Math.min(MIN_FAILED, Math.max(1, known.size()));
	}

	private boolean hasFailed(EndpointEntry entry) {
		return this.unreachable.contains(entry.endpoint()) || this.unanswering.contains(entry.endpoint());
	}

	private boolean isLocal(EndpointEntry entry) {
		return entry.zone().equals(this.localZone);
	}

	// What is awaited may be anything from a lookup to a long prompt, so silence alone
	// says little.
	private void check() {
		this.checkScheduled = !this.awaited.isEmpty();
		if (!this.checkScheduled) {
			return;
		}
		long silentMillis = this.nowMillis.getAsLong() - this.contactMillis;
		if (silentMillis >= SILENCE_MILLIS && !this.lost && !this.probing) {
			boolean isLong = silentMillis >= LONG_SILENCE_MILLIS;
			this.awaited.values()
				.stream()
				.filter((exchange) -> isAwaitedFor(exchange, isLong ? LONG_SILENCE_MILLIS : SILENCE_MILLIS))
				.findAny()
				.ifPresent((exchange) -> probeOrAsk(exchange, isLong));
		}
		this.scheduler.schedule(this::check, SILENCE_MILLIS, TimeUnit.MILLISECONDS);
	}

	private boolean isAwaitedFor(Awaited exchange, long millis) {
		return this.nowMillis.getAsLong() - exchange.sinceMillis() >= millis;
	}

	private void probeOrAsk(Awaited exchange, boolean isLong) {
		if (isLong) {
			askForStatus(exchange.endpoint(), exchange.address());
		}
		else {
			probe(exchange.endpoint(), exchange.address());
		}
	}

	// A failure leads to the next probe until the link is lost.
	private void probe(EndpointId endpoint, String address) {
		this.probing = true;
		this.prober.open(address, (isOpen) -> {
			this.probing = false;
			if (isOpen) {
				recordConnected(endpoint);
			}
			else {
				recordUnreachable(endpoint, () -> {
				});
			}
			investigate();
		});
	}

	// The same for connections that can be opened.
	private void askForStatus(EndpointId endpoint, String address) {
		this.probing = true;
		this.prober.askForStatus(address, (isAnswered) -> {
			this.probing = false;
			if (isAnswered) {
				recordContact(endpoint, true);
			}
			else {
				this.unanswering.add(endpoint);
				investigate();
			}
		});
	}

	private void probeAny() {
		chooseAny().ifPresent((entry) -> probe(entry.endpoint(), entry.address()));
	}

	private void askAnyForStatus() {
		chooseAny().ifPresent((entry) -> askForStatus(entry.endpoint(), entry.address()));
	}

	// Local endpoints that have not failed yet come first.
	private Optional<EndpointEntry> chooseAny() {
		List<EndpointEntry> candidates = new ArrayList<>(this.endpoints.get());
		Collections.shuffle(candidates);
		return candidates.stream()
			.min(Comparator.comparing(this::hasFailed).thenComparing((EndpointEntry entry) -> !isLocal(entry)));
	}

	private void askWhileLost() {
		if (!this.lost || this.scheduler.isShutdown()) {
			return;
		}
		if (!this.probing) {
			askAnyForStatus();
		}
		this.scheduler.schedule(this::askWhileLost, PROBE_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Finds out whether endpoints can be reached. Implementations need not be
	 * thread-safe; the event loop guards them.
	 */
	interface Prober {

		/**
		 * Opens a connection, which stays open.
		 * @param address the host and port of the endpoint
		 * @param onResult receives whether it is open
		 */
		void open(String address, Consumer<Boolean> onResult);

		/**
		 * Asks an endpoint for its status on a connection that was opened recently.
		 * @param address the host and port of the endpoint
		 * @param onResult receives whether it has answered within a limited time
		 */
		void askForStatus(String address, Consumer<Boolean> onResult);

	}

	/**
	 * An endpoint that could not be connected to.
	 */
	private record Suspect(long sinceMillis, Runnable onBlame) {
	}

	/**
	 * An exchange in progress.
	 */
	private record Awaited(EndpointId endpoint, String address, long sinceMillis) {
	}

}
