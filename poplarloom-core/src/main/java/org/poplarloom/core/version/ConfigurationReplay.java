package org.poplarloom.core.version;

import java.util.ArrayList;
import java.util.List;

/**
 * Derives the configuration by replaying the records of the log and applying snapshots
 * from peers.
 * <p>
 * The configuration is always complete up to its offset and the offset never decreases.
 * If the log's retention has removed records that were not read, later ones are buffered
 * until a snapshot from the log or from a peer closes the gap. This class is not
 * thread-safe.
 */
public final class ConfigurationReplay {

	private final List<BufferedRecord> buffered = new ArrayList<>();

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
	 * @return the offset, 0 or more
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
	 * Returns whether records are missing between the configuration and the records that
	 * were read.
	 * @return true until a snapshot from the log or from a peer closes the gap
	 */
	public boolean hasGap() {
		return !this.buffered.isEmpty();
	}

	/**
	 * Replays a publication that was read from the log.
	 * @param offset its offset
	 * @param publication the publication, or null for a record that cannot be parsed
	 */
	public void read(long offset, Publication publication) {
		if (offset < nextOffset()) {
			return;
		}
		this.readOffset = offset;
		if (this.buffered.isEmpty() && offset == this.current.offset() + 1) {
			this.current = withRecord(this.current, offset, publication);
			return;
		}
		this.buffered.add(new BufferedRecord(offset, publication));
	}

	private static Configuration withRecord(Configuration configuration, long offset, Publication publication) {
		return (publication != null) ? configuration.withPublication(offset, publication)
				: configuration.withOffset(offset);
	}

	/**
	 * Applies a snapshot that was read from the log.
	 * @param offset its offset
	 * @param snapshot the snapshot
	 */
	public void read(long offset, Configuration.Snapshot snapshot) {
		if (offset < nextOffset()) {
			return;
		}
		this.snapshotOffset = offset;
		read(offset, (Publication) null);
		applySnapshot(snapshot);
	}

	/**
	 * Applies a snapshot from a peer.
	 * @param snapshot the complete content or the changes that the peer has; ignored if
	 * it is not newer
	 */
	public void applySnapshot(Configuration.Snapshot snapshot) {
		this.current = this.current.withSnapshot(snapshot);
		this.buffered.removeIf((entry) -> entry.offset() <= this.current.offset());
		while (!this.buffered.isEmpty() && this.buffered.get(0).offset() == this.current.offset() + 1) {
			BufferedRecord entry = this.buffered.remove(0);
			this.current = withRecord(this.current, entry.offset(), entry.publication());
		}
	}

	/**
	 * A record that is buffered until a gap is closed.
	 */
	private record BufferedRecord(long offset, Publication publication) {
	}

}
