package org.poplarloom.core.process;

import java.util.Comparator;

/**
 * A position in a table of the platform.
 * <p>
 * A platform that is restored from a copy gives out offsets again. It begins a new era
 * then, so positions increase although offsets decrease. This class is immutable and
 * thread-safe.
 *
 * @param era the number of the era, which rises with each restore
 * @param offset the offset of a record within the era
 */
public record TablePosition(long era, long offset) implements Comparable<TablePosition> {

	/** Precedes all positions; that of a reader that has read nothing. */
	public static final TablePosition NONE = new TablePosition(-1, -1);

	private static final Comparator<TablePosition> ORDER = Comparator.comparingLong(TablePosition::era)
		.thenComparingLong(TablePosition::offset);

	/**
	 * Returns a position.
	 * @param era the number of the era
	 * @param offset the offset of a record within the era
	 * @return the position
	 */
	public static TablePosition of(long era, long offset) {
		return new TablePosition(era, offset);
	}

	/**
	 * Returns a position in the same era.
	 * @param newOffset its offset
	 * @return the position
	 */
	public TablePosition withOffset(long newOffset) {
		return new TablePosition(this.era, newOffset);
	}

	/**
	 * Returns whether this position is after another one.
	 * @param other the other position
	 * @return true if it is in a later era, or in the same era at a higher offset
	 */
	public boolean isAfter(TablePosition other) {
		return compareTo(other) > 0;
	}

	/**
	 * Returns whether the platform was restored between two positions.
	 * @param other the other position
	 * @return true if they are in different eras
	 */
	public boolean isInOtherEraThan(TablePosition other) {
		return this.era != other.era;
	}

	/**
	 * Returns the later of two positions.
	 * @param other the other position
	 * @return this position unless the other one is after it
	 */
	public TablePosition max(TablePosition other) {
		return other.isAfter(this) ? other : this;
	}

	@Override
	public int compareTo(TablePosition other) {
		return ORDER.compare(this, other);
	}

	@Override
	public String toString() {
		return this.era + ":" + this.offset;
	}

}
