package org.poplarloom.entry.process;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.process.SpareCapacityChoice;
import org.poplarloom.entry.Settings;

/**
 * Whether load is spread by spare capacity at this instance now, and where its requests
 * went.
 * <p>
 * It is active while the settings enable it and the zone has enough live instances. This
 * class is thread-safe and takes no lock.
 */
public final class LoadSpread {

	private static final Logger logger = LoggerFactory.getLogger(LoadSpread.class);

	/** Homes named in one log line; the others are only counted. */
	private static final int MAX_LOGGED_HOMES = 16;

	private static final double PERCENT = 100;

	private final Settings.Load settings;

	private final AtomicLong chosenLocal = new AtomicLong();

	private final AtomicLong chosenRemote = new AtomicLong();

	private volatile int instances = 1;

	private volatile boolean active;

	private volatile boolean reportedSpilling;

	private long reportedLocal;

	private long reportedRemote;

	public LoadSpread(Settings.Load settings) {
		this.settings = settings;
	}

	/**
	 * Records how many instances the zone has.
	 * @param liveInstances the number of live instances, including this one
	 */
	public void update(int liveInstances) {
		this.instances = Math.max(1, liveInstances);
		boolean isActiveNow = this.settings.isSpread() && liveInstances >= this.settings.spreadMinInstances();
		if (isActiveNow != this.active) {
			this.active = isActiveNow;
			logger.info("event=load_spread active={} instances={} min_instances={}", isActiveNow, liveInstances,
					this.settings.spreadMinInstances());
		}
	}

	/**
	 * Returns whether the settings enable spreading at all.
	 * @return false if it never becomes active
	 */
	public boolean isEnabled() {
		return this.settings.isSpread();
	}

	/**
	 * Returns whether load is spread now.
	 * @return true if it is enabled and the zone has enough live instances
	 */
	public boolean isActive() {
		return this.active;
	}

	/**
	 * Returns the number of live instances of the zone.
	 * @return the number, at least 1
	 */
	int instances() {
		return this.instances;
	}

	/**
	 * Records where a request was sent.
	 * @param isLocal whether the home is in the local zone
	 */
	void recordChoice(boolean isLocal) {
		(isLocal ? this.chosenLocal : this.chosenRemote).incrementAndGet();
	}

	/**
	 * Returns how often a home of the local zone was chosen.
	 * @return the number since the start
	 */
	public long chosenLocal() {
		return this.chosenLocal.get();
	}

	/**
	 * Returns how often a home of another zone was chosen.
	 * @return the number since the start
	 */
	public long chosenRemote() {
		return this.chosenRemote.get();
	}

	/**
	 * Logs the estimated load of the homes if requests go to other zones because of the
	 * utilization of the local one, and once when they no longer do. It is called
	 * periodically by one thread.
	 * @param isSpilling whether requests go to other zones
	 * @param estimates the estimated load of the homes
	 */
	void report(boolean isSpilling, List<SpareCapacityChoice.LoadEstimate> estimates) {
		long local = this.chosenLocal.get();
		long remote = this.chosenRemote.get();
		if (isSpilling || this.reportedSpilling) {
			long total = Math.max(1, local - this.reportedLocal + remote - this.reportedRemote);
			logger.info("event=load_spread spilling={} requests={} other_zones_percent={} homes={} estimates={}",
					isSpilling, local - this.reportedLocal + remote - this.reportedRemote,
					Math.round(PERCENT * (remote - this.reportedRemote) / total), estimates.size(),
					estimates.stream().limit(MAX_LOGGED_HOMES).map(LoadSpread::describe).toList());
		}
		this.reportedSpilling = isSpilling;
		this.reportedLocal = local;
		this.reportedRemote = remote;
	}

	private static String describe(SpareCapacityChoice.LoadEstimate estimate) {
		return estimate.status().shard() + ":spare=" + Math.round(estimate.spareSlots()) + "/" + estimate.slots()
				+ ",utilization=" + Math.round(PERCENT * estimate.utilization()) + "%,age_ms=" + estimate.ageMillis();
	}

}
