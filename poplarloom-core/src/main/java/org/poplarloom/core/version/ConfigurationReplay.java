package org.poplarloom.core.version;

import java.util.ArrayList;
import java.util.List;

/**
 * Derives the configuration from the records of the log and from what peers know.
 * <p>
 * The configuration is always complete up to its offset and the offset never falls. If
 * retention has dropped records that were not read, later ones wait until a snapshot or a
 * peer closes the gap. This class is not thread-safe.
 */
public final class ConfigurationReplay {

	private final List<Waiting> waiting = new ArrayList<>();

	private Configuration current = Configuration.EMPTY;

	private long readOffset = Publication.NO_OFFSET;

	private long snapshotOffset = Publication.NO_OFFSET;

	/**
	 * Returns the configuration.
	 * @return the configuration, complete up to its offset
	 */
	public Configuration current() {
		return this.current;
	}

	/**
	 * Returns the offset of the next record to read.
	 * @return an offset from 0
	 */
	public long nextOffset() {
		return Math.max(this.readOffset, this.current.offset()) + 1;
	}

	/**
	 * Returns the offset of the last snapshot that was read.
	 * @return the offset, or {@link Publication#NO_OFFSET}
	 */
	public long snapshotOffset() {
		return this.snapshotOffset;
	}

	/**
	 * Says whether records are missing between the configuration and what was read.
	 * @return true until a snapshot or a peer closes the gap
	 */
	public boolean hasGap() {
		return !this.waiting.isEmpty();
	}

	/**
	 * Takes a publication from the log.
	 * @param offset its offset
	 * @param publication the publication, or null for a record that cannot be read
	 */
	public void read(long offset, Publication publication) {
		if (offset < nextOffset()) {
			return;
		}
		this.readOffset = offset;
		if (this.waiting.isEmpty() && offset == this.current.offset() + 1) {
			this.current = next(this.current, offset, publication);
			return;
		}
		this.waiting.add(new Waiting(offset, publication));
	}

	private static Configuration next(Configuration configuration, long offset, Publication publication) {
		return (publication != null) ? configuration.plus(offset, publication) : configuration.withOffset(offset);
	}

	/**
	 * Takes a snapshot from the log.
	 * @param offset its offset
	 * @param snapshot the snapshot
	 */
	public void read(long offset, Configuration.Snapshot snapshot) {
		if (offset < nextOffset()) {
			return;
		}
		this.snapshotOffset = offset;
		read(offset, (Publication) null);
		learn(snapshot);
	}

	/**
	 * Takes what a peer knows.
	 * @param snapshot the peer's whole content or its changes; older ones are ignored
	 */
	public void learn(Configuration.Snapshot snapshot) {
		this.current = this.current.with(snapshot);
		this.waiting.removeIf((entry) -> entry.offset() <= this.current.offset());
		while (!this.waiting.isEmpty() && this.waiting.get(0).offset() == this.current.offset() + 1) {
			Waiting entry = this.waiting.remove(0);
			this.current = next(this.current, entry.offset(), entry.publication());
		}
	}

	/**
	 * A record that waits until a gap is closed.
	 */
	private record Waiting(long offset, Publication publication) {
	}

}
