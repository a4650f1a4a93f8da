package org.poplarloom.entry.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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
 * The link counts as lost when two endpoints in a row cannot be connected to, one of them
 * in the local zone, and none has sent anything since some time before. A single endpoint
 * that cannot be reached is that endpoint's failure, and those of other zones are where
 * the zone is cut off. While responses are awaited and nothing arrives from any endpoint,
 * and while the link is lost, connections are opened to find out. This class is not
 * thread-safe; the event loop guards it.
 */
final class EndpointLink {

	/** Longer than endpoints usually stay silent together. */
	static final long SILENCE_MILLIS = 400;

	private static final long PROBE_PERIOD_MILLIS = 500;

	private static final int MIN_UNREACHABLE = 2;

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

	/** The endpoints that could not be connected to since one has sent something. */
	private final Set<EndpointId> unreachable = new HashSet<>();

	/** The same since a connection could be opened, with what is to be done then. */
	private final Map<EndpointId, Suspect> suspects = new HashMap<>();

	private long contactMillis;

	private long lostMillis;

	private boolean lost;

	private boolean probing;

	private boolean checkScheduled;

	/**
	 * Creates a link that counts as sound.
	 * @param localZone the zone of this instance
	 * @param endpoints supplies the endpoints
	 * @param prober opens connections to find out whether endpoints can be reached
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
	}

	/**
	 * Returns whether no endpoint can be reached.
	 * @return true until a connection can be opened or an endpoint sends something
	 */
	boolean isLost() {
		return this.lost;
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
	 * Records that an endpoint has sent something, or that a connection could be opened.
	 * @param endpoint the endpoint
	 * @param isNewConnection whether the connection was opened for this
	 */
	void recordContact(EndpointId endpoint, boolean isNewConnection) {
		this.contactMillis = this.nowMillis.getAsLong();
		this.unreachable.clear();
		if (isNewConnection) {
			blameSuspects(endpoint);
		}
		if (this.lost) {
			this.lost = false;
			logger.info("event=endpoint_link_regained after_ms={}", this.contactMillis - this.lostMillis);
		}
	}

	private void blameSuspects(EndpointId reached) {
		this.suspects.remove(reached);
		long oldestMillis = this.contactMillis - SUSPICION_MILLIS;
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
		if (this.lost || now - this.contactMillis < SILENCE_MILLIS) {
			return;
		}
		if (isEnoughUnreachable()) {
			this.lost = true;
			this.lostMillis = now;
			this.suspects.clear();
			logger.warn("event=endpoint_link_lost silent_ms={} unreachable={}", now - this.contactMillis,
					this.unreachable);
			this.onLost.run();
			probeWhileLost();
		}
		else if (!this.probing) {
			probeAny();
		}
	}

	private boolean isEnoughUnreachable() {
		List<EndpointEntry> known = this.endpoints.get();
		List<EndpointEntry> local = known.stream().filter(this::isLocal).toList();
		boolean isLocalUnreachable = local.isEmpty()
				|| local.stream().anyMatch((entry) -> this.unreachable.contains(entry.endpoint()));
		return isLocalUnreachable && this.unreachable.size() >= Math.min(MIN_UNREACHABLE, Math.max(1, known.size()));
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
		long now = this.nowMillis.getAsLong();
		boolean isSilent = now - this.contactMillis >= SILENCE_MILLIS;
		if (isSilent && !this.lost && !this.probing) {
			this.awaited.values()
				.stream()
				.filter((exchange) -> now - exchange.sinceMillis() >= SILENCE_MILLIS)
				.findAny()
				.ifPresent((exchange) -> probe(exchange.endpoint(), exchange.address()));
		}
		this.scheduler.schedule(this::check, SILENCE_MILLIS, TimeUnit.MILLISECONDS);
	}

	// A failure leads to the next probe until the link is lost.
	private void probe(EndpointId endpoint, String address) {
		this.probing = true;
		this.prober.open(address, (isOpen) -> {
			this.probing = false;
			if (isOpen) {
				recordContact(endpoint, true);
			}
			else {
				recordUnreachable(endpoint, () -> {
				});
			}
		});
	}

	// Local endpoints that have not failed yet come first.
	private void probeAny() {
		List<EndpointEntry> candidates = new ArrayList<>(this.endpoints.get());
		Collections.shuffle(candidates);
		candidates.stream()
			.min(Comparator.comparing((EndpointEntry entry) -> this.unreachable.contains(entry.endpoint()))
				.thenComparing((entry) -> !isLocal(entry)))
			.ifPresent((entry) -> probe(entry.endpoint(), entry.address()));
	}

	private void probeWhileLost() {
		if (!this.lost || this.scheduler.isShutdown()) {
			return;
		}
		if (!this.probing) {
			probeAny();
		}
		this.scheduler.schedule(this::probeWhileLost, PROBE_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Opens connections to endpoints.
	 */
	@FunctionalInterface
	interface Prober {

		/**
		 * Opens a connection.
		 * @param address the host and port of the endpoint
		 * @param onResult receives whether it is open
		 */
		void open(String address, Consumer<Boolean> onResult);

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
