package org.poplarloom.core.process;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.poplarloom.core.EndpointId;

/**
 * What endpoints have said about themselves in their answers to this instance: that they
 * are leaving, or that they want no requests for some time.
 * <p>
 * Leaving lasts until the endpoint's next lifetime, whatever others say. After a back-off
 * the endpoint gets requests again at a rising rate. This class is thread-safe.
 */
public final class EndpointNotices {

	/** How long requests are limited after the end of a back-off. */
	static final long RAMP_MILLIS = 1_000;

	/** The number of requests in the ramp doubles after each of these intervals. */
	static final long RAMP_STEP_MILLIS = 200;

	/** No lifetime ends later than this after its endpoint has said that it leaves. */
	private static final long LEAVING_RETENTION_MILLIS = 3_600_000;

	private final Map<EndpointId, Leaving> leaving = new ConcurrentHashMap<>();

	private final Map<EndpointId, BackOff> backOffs = new ConcurrentHashMap<>();

	/**
	 * Records that an endpoint is leaving.
	 * @param endpoint the endpoint
	 * @param bootId the boot ID of its process
	 * @param nowMillis the time in milliseconds
	 * @return whether that was not known
	 */
	public boolean recordLeaving(EndpointId endpoint, String bootId, long nowMillis) {
		this.leaving.values().removeIf((notice) -> nowMillis - notice.sinceMillis > LEAVING_RETENTION_MILLIS);
		Leaving notice = new Leaving(bootId, nowMillis);
		Leaving before = this.leaving.put(endpoint, notice);
		return before == null || !before.bootId.equals(bootId);
	}

	/**
	 * Records that an endpoint wants no requests for some time.
	 * @param endpoint the endpoint
	 * @param bootId the boot ID of its process
	 * @param durationMillis the time in milliseconds, more than 0
	 * @param nowMillis the time in milliseconds
	 * @throws IllegalArgumentException if the duration is not positive
	 */
	public void recordBackOff(EndpointId endpoint, String bootId, long durationMillis, long nowMillis) {
		if (durationMillis < 1) {
			throw new IllegalArgumentException("duration must be positive, but was " + durationMillis);
		}
		this.backOffs.values().removeIf((backOff) -> backOff.isOver(nowMillis));
		BackOff next = new BackOff(bootId, nowMillis + durationMillis, 0);
		this.backOffs.merge(endpoint, next, (known, added) -> known.isLongerThan(added) ? known : added);
	}

	/**
	 * Forgets what an endpoint said in other lifetimes.
	 * @param endpoint the endpoint
	 * @param bootId the boot ID of its present process
	 */
	public void forgetOtherLifetimes(EndpointId endpoint, String bootId) {
		this.leaving.computeIfPresent(endpoint, (key, notice) -> notice.bootId.equals(bootId) ? notice : null);
		this.backOffs.computeIfPresent(endpoint, (key, backOff) -> backOff.bootId.equals(bootId) ? backOff : null);
	}

	/**
	 * Returns whether an endpoint has said that it leaves.
	 * @param endpoint the endpoint
	 * @param bootId the boot ID of its process
	 * @return true until its next lifetime
	 */
	public boolean isLeaving(EndpointId endpoint, String bootId) {
		Leaving notice = this.leaving.get(endpoint);
		return notice != null && notice.bootId.equals(bootId);
	}

	/**
	 * Returns whether an endpoint may get a request now.
	 * @param endpoint the endpoint
	 * @param bootId the boot ID of its process
	 * @param nowMillis the time in milliseconds
	 * @return false if it is leaving, wants no requests yet, or has had as many as the
	 * ramp allows
	 */
	public boolean mayUse(EndpointId endpoint, String bootId, long nowMillis) {
		BackOff backOff = this.backOffs.get(endpoint);
		boolean isHeldBack = backOff != null && backOff.bootId.equals(bootId) && !backOff.allowsRequest(nowMillis);
		return !isHeldBack && !isLeaving(endpoint, bootId);
	}

	/**
	 * Records that a request is sent to an endpoint.
	 * @param endpoint the endpoint
	 */
	public void recordUse(EndpointId endpoint) {
		this.backOffs.computeIfPresent(endpoint, (key, backOff) -> backOff.withRequest());
	}

	/**
	 * Returns the endpoints that may not get a request now, for a home that would grant
	 * them.
	 * @param nowMillis the time in milliseconds
	 * @return the endpoints, empty if there are none
	 */
	public Set<EndpointId> unusable(long nowMillis) {
		if (this.leaving.isEmpty() && this.backOffs.isEmpty()) {
			return Set.of();
		}
		Set<EndpointId> unusable = new HashSet<>(this.leaving.keySet());
		this.backOffs.forEach((endpoint, backOff) -> {
			if (!backOff.allowsRequest(nowMillis)) {
				unusable.add(endpoint);
			}
		});
		return unusable;
	}

	/**
	 * Returns whether an endpoint wants no requests or is in the ramp after that.
	 * @param nowMillis the time in milliseconds
	 * @return false if {@link #remainingBackOffMillis} is empty for all services
	 */
	public boolean hasBackOffs(long nowMillis) {
		this.backOffs.values().removeIf((backOff) -> backOff.isOver(nowMillis));
		return !this.backOffs.isEmpty();
	}

	/**
	 * Returns how long all endpoints of a service want no requests.
	 * @param endpoints the endpoints that serve it
	 * @param nowMillis the time in milliseconds
	 * @return the time until the first of them takes requests again, in milliseconds, or
	 * empty if one does now or there is none
	 */
	public OptionalLong remainingBackOffMillis(Collection<EndpointId> endpoints, long nowMillis) {
		if (endpoints.isEmpty()) {
			return OptionalLong.empty();
		}
		long shortest = Long.MAX_VALUE;
		for (EndpointId endpoint : endpoints) {
			BackOff backOff = this.backOffs.get(endpoint);
			if (backOff == null || backOff.endMillis <= nowMillis) {
				return OptionalLong.empty();
			}
			shortest = Math.min(shortest, backOff.endMillis - nowMillis);
		}
		return OptionalLong.of(shortest);
	}

	/**
	 * An endpoint's notice that it is leaving.
	 */
	private record Leaving(String bootId, long sinceMillis) {
	}

	/**
	 * A time in which an endpoint wants no requests, and the requests since its end.
	 */
	private record BackOff(String bootId, long endMillis, int requestsSinceEnd) {

		boolean isLongerThan(BackOff other) {
			return this.bootId.equals(other.bootId) && this.endMillis > other.endMillis;
		}

		boolean isOver(long nowMillis) {
			return nowMillis >= this.endMillis + RAMP_MILLIS;
		}

		boolean allowsRequest(long nowMillis) {
			if (nowMillis < this.endMillis) {
				return false;
			}
			return isOver(nowMillis) || this.requestsSinceEnd < 1 << (nowMillis - this.endMillis) / RAMP_STEP_MILLIS;
		}

		BackOff withRequest() {
			return new BackOff(this.bootId, this.endMillis, this.requestsSinceEnd + 1);
		}

	}

}
