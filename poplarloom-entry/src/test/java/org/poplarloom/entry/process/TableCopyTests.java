package org.poplarloom.entry.process;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.poplarloom.core.process.TablePosition;
import org.poplarloom.port.KeyedTablePort.Entry;
import org.poplarloom.port.KeyedTablePort.Page;

/**
 * Tests for {@link TableCopy}. Values are revisions, of which the higher one is newer.
 */
public class TableCopyTests {

	private static final long MISSING_GRACE_MILLIS = 100;

	private static final long OUTDATED_GRACE_MILLIS = 300;

	private TableCopy copy;

	private static TableCopy newCopy() {
		return new TableCopy(new RevisionOrder(),
				new TableCopy.RestoreGrace(MISSING_GRACE_MILLIS, OUTDATED_GRACE_MILLIS));
	}

	private static Entry entry(String key, String value, long era, long offset) {
		return new Entry(key, value.getBytes(StandardCharsets.UTF_8), TablePosition.of(era, offset));
	}

	private static Page snapshot(long era, long end, Entry... entries) {
		return new Page(TablePosition.of(era, end), false, List.of(entries));
	}

	private static int revision(Entry entry) {
		return entry.isTombstone() ? 0 : Integer.parseInt(new String(entry.value(), StandardCharsets.UTF_8));
	}

	private static List<String> texts(List<Entry> entries) {
		return entries.stream().map((entry) -> entry.key() + "=" + revision(entry)).toList();
	}

	private List<String> content() {
		return texts(this.copy.recordsSince(TablePosition.NONE)).stream().sorted().toList();
	}

	/** Reads the table up to offset 6, where the keys a and b have the revision 3. */
	@BeforeMethod
	public void readFirstEra() {
		this.copy = newCopy();
		this.copy.mergeSnapshot(snapshot(1, 6, entry("a", "3", 1, 5), entry("b", "3", 1, 4)), 0);
	}

	@Test
	public void aRestoredOlderRecordDoesNotReplaceTheKnownOne() {
		Assert.assertEquals(
				this.copy.mergeSnapshot(snapshot(2, 2, entry("a", "1", 2, 0), entry("b", "3", 2, 1)), 0).size(), 1);
		Assert.assertEquals(content(), List.of("a=3", "b=3"));
		Assert.assertEquals(this.copy.next(), TablePosition.of(2, 2));
	}

	@Test
	public void aRecordThatIsWrittenAgainReplacesTheKnownOneAtALowerOffset() {
		this.copy.mergeSnapshot(snapshot(2, 2, entry("a", "1", 2, 0), entry("b", "1", 2, 1)), 0);
		Assert.assertEquals(texts(this.copy.merge(List.of(entry("a", "3", 2, 2)), TablePosition.of(2, 3), 10)),
				List.of("a=3"));
		Assert.assertEquals(texts(this.copy.mergeDeferred(OUTDATED_GRACE_MILLIS)), List.of("b=1"));
	}

	@Test
	public void aRecordWrittenAfterTheSnapshotIsNewEvenIfItsRevisionIsLower() {
		this.copy.mergeSnapshot(snapshot(2, 2, entry("a", "1", 2, 0), entry("b", "1", 2, 1)), 0);
		this.copy.merge(List.of(entry("a", "2", 2, 2)), TablePosition.of(2, 3), 10);
		Assert.assertEquals(content(), List.of("a=2", "b=3"));
	}

	@Test
	public void aRecordThatIsWrittenLateDoesNotReplaceTheNewerOne() {
		Assert.assertTrue(this.copy.merge(List.of(entry("a", "2", 1, 6)), TablePosition.of(1, 7), 10).isEmpty());
		Assert.assertEquals(content(), List.of("a=3", "b=3"));
		Assert.assertEquals(this.copy.next(), TablePosition.of(1, 7));
	}

	@Test
	public void aRecordThatIsWrittenLateAfterARemovalIsNotTakenBack() {
		this.copy.merge(List.of(entry("a", "", 1, 6), entry("a", "2", 1, 7)), TablePosition.of(1, 8), 10);
		Assert.assertEquals(content(), List.of("a=0", "b=3"));
		this.copy.merge(List.of(entry("a", "3", 1, 8)), TablePosition.of(1, 9), 20);
		Assert.assertEquals(content(), List.of("a=3", "b=3"));
	}

	@Test
	public void aPeersNewerRecordReplacesOneThatWasWrittenLate() {
		TableCopy started = newCopy();
		started.mergeSnapshot(snapshot(1, 8, entry("a", "2", 1, 7)), 0);
		Assert.assertEquals(texts(started.merge(List.of(entry("a", "3", 1, 5)), TablePosition.of(1, 8), 10)),
				List.of("a=3"));
		Assert.assertTrue(started.merge(List.of(entry("a", "2", 1, 7)), TablePosition.of(1, 8), 20).isEmpty());
	}

	@Test
	public void aRecordAtAHigherOffsetThanTheKnownOneCannotComeFromTheCopy() {
		this.copy.mergeSnapshot(snapshot(2, 8, entry("a", "2", 2, 7), entry("b", "3", 2, 4)), 0);
		Assert.assertEquals(content(), List.of("a=2", "b=3"));
	}

	@Test
	public void aMissingKeyIsRemovedAfterItsGraceTime() {
		this.copy.mergeSnapshot(snapshot(2, 1, entry("b", "3", 2, 0)), 0);
		Assert.assertEquals(this.copy.nextDueMillis(), OptionalLong.of(MISSING_GRACE_MILLIS));
		Assert.assertTrue(this.copy.mergeDeferred(MISSING_GRACE_MILLIS - 1).isEmpty());
		Assert.assertEquals(texts(this.copy.mergeDeferred(MISSING_GRACE_MILLIS)), List.of("a=0"));
		Assert.assertTrue(this.copy.nextDueMillis().isEmpty());
	}

	@Test
	public void repeatedSnapshotsDoNotExtendTheGraceTime() {
		this.copy.mergeSnapshot(snapshot(2, 1, entry("b", "3", 2, 0)), 0);
		this.copy.mergeSnapshot(snapshot(2, 1, entry("b", "3", 2, 0)), 50);
		Assert.assertEquals(this.copy.nextDueMillis(), OptionalLong.of(MISSING_GRACE_MILLIS));
	}

	@Test
	public void aSecondRestoreIsMergedLikeTheFirst() {
		this.copy.mergeSnapshot(snapshot(2, 2, entry("a", "1", 2, 0), entry("b", "1", 2, 1)), 0);
		this.copy.mergeSnapshot(snapshot(3, 1, entry("a", "1", 3, 0)), 50);
		Assert.assertEquals(content(), List.of("a=3", "b=3"));
		this.copy.merge(List.of(entry("a", "4", 3, 1)), TablePosition.of(3, 2), 60);
		Assert.assertEquals(content(), List.of("a=4", "b=3"));
	}

	@Test
	public void aSnapshotOfAnEarlierEraChangesNothing() {
		this.copy.mergeSnapshot(snapshot(2, 2, entry("a", "4", 2, 0), entry("b", "4", 2, 1)), 0);
		Assert.assertTrue(this.copy.mergeSnapshot(snapshot(1, 9, entry("a", "3", 1, 5)), 10).isEmpty());
		Assert.assertEquals(content(), List.of("a=4", "b=4"));
	}

	@Test
	public void aPeersNewerRecordOfAnEarlierEraReplacesTheRestoredOne() {
		TableCopy started = newCopy();
		started.mergeSnapshot(snapshot(2, 1, entry("a", "1", 2, 0)), 0);
		Assert.assertEquals(texts(started.merge(List.of(entry("a", "3", 1, 5)), TablePosition.of(2, 2), 10)),
				List.of("a=3"));
	}

	/**
	 * Orders records by their revisions.
	 */
	private static final class RevisionOrder implements RecordOrder {

		@Override
		public boolean isOutdated(Entry restored, Entry known) {
			return revision(restored) < revision(known);
		}

		@Override
		public boolean isWrittenLate(Entry later, Entry earlier) {
			return isOutdated(later, earlier);
		}

	}

}
