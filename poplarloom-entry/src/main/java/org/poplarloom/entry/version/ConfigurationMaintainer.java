package org.poplarloom.entry.version;

import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.RendezvousHashing;
import org.poplarloom.core.version.Documents;
import org.poplarloom.core.version.ZoneCommand;
import org.poplarloom.entry.version.ConfigurationStream.StreamRecord;
import org.poplarloom.port.LogPort;

/**
 * Keeps the log up to date: publishes zone commands that were accepted during an outage
 * of the log, and publishes snapshots before retention drops the records they replace.
 * <p>
 * Rendezvous hashing chooses one instance for each task; if instances disagree and two of
 * them do it, the second record has no effect. This class is thread-safe.
 */
public final class ConfigurationMaintainer {

	private static final Logger logger = LoggerFactory.getLogger(ConfigurationMaintainer.class);

	private static final String SNAPSHOT_TASK = "snapshot";

	/** The number of records after which a snapshot is due regardless of retention. */
	private static final long MAX_RECORDS_SINCE_SNAPSHOT = 1_000;

	private static final long MAX_SNAPSHOT_AGE_MILLIS = 6 * 3_600_000L;

	private final LogPort log;

	private final ActiveConfiguration activeConfiguration;

	private final ConfigurationFollower follower;

	private final ConfigurationPublisher publisher;

	private final InstanceId self;

	private final Supplier<Set<InstanceId>> instances;

	private long seenSnapshotOffset = Long.MIN_VALUE;

	private long snapshotSeenMillis;

	public ConfigurationMaintainer(LogPort log, ActiveConfiguration activeConfiguration, ConfigurationFollower follower,
			ConfigurationPublisher publisher, InstanceId self, Supplier<Set<InstanceId>> instances) {
		this.log = log;
		this.activeConfiguration = activeConfiguration;
		this.follower = follower;
		this.publisher = publisher;
		this.self = self;
		this.instances = instances;
	}

	/**
	 * Performs the tasks that are due and for which this instance is chosen.
	 * @param nowMillis the time in milliseconds since the epoch
	 */
	public void tick(long nowMillis) {
		if (!this.follower.isConnected() || !this.follower.isCaughtUp()) {
			return;
		}
		for (ZoneCommand command : this.activeConfiguration.state().unconfirmedZoneCommands()) {
			if (isChosen(command.id())) {
				logger.info("publishing unconfirmed command {} for zone {} on the log", command.id(), command.zone());
				this.publisher.confirm(command).subscribe();
			}
		}
		if (this.activeConfiguration.isLoaded() && isSnapshotDue(nowMillis) && isChosen(SNAPSHOT_TASK)) {
			publishSnapshot();
		}
	}

	private boolean isChosen(String task) {
		return RendezvousHashing.choose(task, this.instances.get()).filter(this.self::equals).isPresent();
	}

	private boolean isSnapshotDue(long nowMillis) {
		long offset = this.activeConfiguration.snapshotOffset();
		if (offset != this.seenSnapshotOffset) {
			this.seenSnapshotOffset = offset;
			this.snapshotSeenMillis = nowMillis;
		}
		long firstOffset = this.follower.firstRetainedOffset();
		long middleOffset = firstOffset + (this.follower.endOffset() - firstOffset) / 2;
		boolean isInOlderHalf = firstOffset > 0 && offset < middleOffset;
		boolean isFarFromEnd = this.follower.endOffset() - Math.max(0, offset) > MAX_RECORDS_SINCE_SNAPSHOT;
		return isInOlderHalf || isFarFromEnd || nowMillis - this.snapshotSeenMillis > MAX_SNAPSHOT_AGE_MILLIS;
	}

	private void publishSnapshot() {
		StreamRecord snapshot = new StreamRecord(null, this.activeConfiguration.configuration().toSnapshot());
		logger.info("publishing a snapshot of the configuration at offset {}",
				this.activeConfiguration.configuration().offset());
		Mono.from(this.log.append(ConfigurationStream.NAME, List.of(Documents.write(snapshot))))
			.onErrorComplete()
			.subscribe();
	}

}
