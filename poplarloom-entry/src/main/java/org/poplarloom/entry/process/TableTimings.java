package org.poplarloom.entry.process;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.poplarloom.entry.process.TableReaders.Role;

/**
 * When an instance reads each of the platform's tables, by its role and by whether it is
 * the home of a shard. This class is immutable and thread-safe.
 */
final class TableTimings {

	/**
	 * The pause after a read of the operators' table, which itself waits for a record.
	 */
	private static final long OPERATOR_PAUSE_MILLIS = 20;

	/** Joins versions that are published in quick succession; readers do not wait. */
	private static final long STANDBY_OPERATOR_PAUSE_MILLIS = 200;

	/** The waits and pauses of small deployments. */
	private static final long MIN_OPERATOR_WAIT_MILLIS = 4_000;

	private static final long MIN_ENDPOINT_PAUSE_MILLIS = 4_000;

	private static final long MIN_STATUS_PAUSE_MILLIS = 8_000;

	/** The store's reads grow slower than the number of instances up to this number. */
	private static final int MAX_STRETCHING_INSTANCES = 50;

	private static final long OPERATOR_WAIT_MILLIS_PER_INSTANCE = 300;

	private static final long ENDPOINT_PAUSE_MILLIS_PER_INSTANCE = 200;

	private static final long STATUS_PAUSE_MILLIS_PER_INSTANCE = 400;

	/**
	 * Bounds the time after which an instance of each zone notices that a read was lost,
	 * even if an outage has hit the reads of all instances.
	 */
	private static final ReadTiming HOME_OPERATOR_TIMING = ReadTiming.of(900, OPERATOR_PAUSE_MILLIS);

	/** A home must stop granting an endpoint within 2 s after it starts to drain. */
	private static final ReadTiming HOME_ENDPOINT_TIMING = ReadTiming.of(0, 900);

	private final Supplier<Role> role;

	private final BooleanSupplier isHome;

	private final IntSupplier instances;

	/**
	 * Creates timings.
	 * @param role supplies how this instance keeps its copies up to date
	 * @param isHome supplies whether this instance is the home of a shard
	 * @param instances supplies the number of instances of all zones
	 */
	TableTimings(Supplier<Role> role, BooleanSupplier isHome, IntSupplier instances) {
		this.role = role;
		this.isHome = isHome;
		this.instances = instances;
	}

	private boolean readsOften() {
		return this.isHome.getAsBoolean() || this.role.get() == Role.READER;
	}

	private boolean isLearner() {
		return this.role.get() == Role.LEARNER;
	}

	/**
	 * Returns when the operators' table is read.
	 * @return the timing
	 */
	ReadTiming operators() {
		if (readsOften()) {
			return HOME_OPERATOR_TIMING;
		}
		if (isLearner()) {
			return ReadTiming.NONE;
		}
		// Heartbeats name newer records, so in a large deployment each instance may wait
		// longer.
		return ReadTiming.of(stretched(MIN_OPERATOR_WAIT_MILLIS, OPERATOR_WAIT_MILLIS_PER_INSTANCE),
				(this.role.get() == Role.STANDBY) ? STANDBY_OPERATOR_PAUSE_MILLIS : OPERATOR_PAUSE_MILLIS);
	}

	/**
	 * Returns when the table of endpoints is read. An instance that is no home keeps its
	 * copy recent enough to become one quickly.
	 * @return the timing
	 */
	ReadTiming endpoints() {
		if (readsOften()) {
			return HOME_ENDPOINT_TIMING;
		}
		return isLearner() ? ReadTiming.NONE
				: ReadTiming.spread(stretched(MIN_ENDPOINT_PAUSE_MILLIS, ENDPOINT_PAUSE_MILLIS_PER_INSTANCE));
	}

	/**
	 * Returns when the table of instances is read. Instances that are not in the table
	 * yet introduce themselves to those that are.
	 * @return the timing
	 */
	ReadTiming instances() {
		return isLearner() ? ReadTiming.NONE
				: ReadTiming.of(0, stretched(MIN_STATUS_PAUSE_MILLIS, STATUS_PAUSE_MILLIS_PER_INSTANCE));
	}

	private long stretched(long minMillis, long millisPerInstance) {
		int count = Math.min(MAX_STRETCHING_INSTANCES, this.instances.getAsInt());
		return Math.max(minMillis, count * millisPerInstance);
	}

}
