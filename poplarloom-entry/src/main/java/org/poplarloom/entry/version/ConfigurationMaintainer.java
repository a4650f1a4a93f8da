package org.poplarloom.entry.version;

import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.Rendezvous;
import org.poplarloom.core.version.Documents;
import org.poplarloom.core.version.ZoneOrder;
import org.poplarloom.entry.version.ConfigurationStream.StreamRecord;
import org.poplarloom.port.LogPort;

/**
 * Keeps the configuration on the log: confirms zone orders that were given during an
 * outage and republishes the state before retention drops it.
 * <p>
 * One instance is chosen for each task; if views differ and two do it, the second copy
 * changes nothing. This class is thread-safe.
 */
public final class ConfigurationMaintainer {

	private static final Logger logger = LoggerFactory.getLogger(ConfigurationMaintainer.class);

	private static final String SNAPSHOT_TASK = "snapshot";

	/**
	 * The number of records after which a new snapshot is due whatever retention does.
	 */
	private static final long RECORDS_PER_SNAPSHOT = 1_000;

	private static final long SNAPSHOT_MILLIS = 6 * 3_600_000L;

	private final LogPort log;

	private final ConfigurationKeeper keeper;

	private final LogFollower follower;

	private final ConfigurationPublisher publisher;

	private final InstanceId self;

	private final Supplier<Set<InstanceId>> instances;

	private long lastSnapshotOffset = Long.MIN_VALUE;

	private long lastSnapshotMillis;

	public ConfigurationMaintainer(LogPort log, ConfigurationKeeper keeper, LogFollower follower,
			ConfigurationPublisher publisher, InstanceId self, Supplier<Set<InstanceId>> instances) {
		this.log = log;
		this.keeper = keeper;
		this.follower = follower;
		this.publisher = publisher;
		this.self = self;
		this.instances = instances;
	}

	/**
	 * Does what is due.
	 * @param nowMillis the time in milliseconds since the epoch
	 */
	public void tick(long nowMillis) {
		if (!this.follower.isConnected() || !this.follower.isCaughtUp()) {
			return;
		}
		for (ZoneOrder order : this.keeper.state().unconfirmedOrders()) {
			if (isChosen(order.id())) {
				logger.info("confirming order {} for zone {} on the log", order.id(), order.zone());
				this.publisher.confirm(order).subscribe();
			}
		}
		if (this.keeper.isLoaded() && isSnapshotDue(nowMillis) && isChosen(SNAPSHOT_TASK)) {
			publishSnapshot();
		}
	}

	private boolean isChosen(String task) {
		return Rendezvous.choose(task, this.instances.get()).filter(this.self::equals).isPresent();
	}

	private boolean isSnapshotDue(long nowMillis) {
		long offset = this.keeper.snapshotOffset();
		if (offset != this.lastSnapshotOffset) {
			this.lastSnapshotOffset = offset;
			this.lastSnapshotMillis = nowMillis;
		}
		long first = this.follower.firstRetained();
		long middle = first + (this.follower.next() - first) / 2;
		boolean isInOlderHalf = first > 0 && offset < middle;
		boolean isFarBehind = this.follower.next() - Math.max(0, offset) > RECORDS_PER_SNAPSHOT;
		return isInOlderHalf || isFarBehind || nowMillis - this.lastSnapshotMillis > SNAPSHOT_MILLIS;
	}

	private void publishSnapshot() {
		StreamRecord snapshot = new StreamRecord(null, this.keeper.configuration().toSnapshot());
		logger.info("publishing a snapshot of configuration {}", this.keeper.configuration().offset());
		Mono.from(this.log.append(ConfigurationStream.NAME, List.of(Documents.write(snapshot))))
			.onErrorComplete()
			.subscribe();
	}

}
