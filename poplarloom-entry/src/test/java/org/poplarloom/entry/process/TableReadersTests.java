package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.MembershipTable;
import org.poplarloom.core.process.ShardId;
import org.poplarloom.core.process.TablePosition;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.process.TableReaders.Confirmation;
import org.poplarloom.entry.process.TableReaders.Decision;
import org.poplarloom.entry.process.TableReaders.Positions;
import org.poplarloom.entry.process.TableReaders.Role;
import org.poplarloom.entry.process.TableReaders.Self;

/**
 * Tests for {@link TableReaders} without a network: each guards against copies that
 * nobody keeps up to date, or against more readers than are needed.
 */
public class TableReadersTests {

	private static final AvailabilityZone ZONE = AvailabilityZone.of("norte-a");

	private static final int MEMBERS = 12;

	private static final long START_MILLIS = 100_000;

	private static final long FAILURE_TIMEOUT_MILLIS = 600_000;

	private static final TablePosition KNOWN = TablePosition.of(1, 7);

	private static final TablePosition NEWER = TablePosition.of(1, 8);

	private static final Positions POSITIONS = new Positions(KNOWN, KNOWN);

	private static InstanceId id(int index) {
		return InstanceId.of("edge-" + index);
	}

	private static Member member(int index) {
		return new Member(id(index), ZONE, "10.0.0." + index + ":1", 1, 1, false, 1);
	}

	private static TableReaders readers(int self, int perZone) {
		MembershipTable membership = MembershipTable.of(member(self), FAILURE_TIMEOUT_MILLIS);
		membership.mergeMembers(IntStream.range(0, MEMBERS).mapToObj(TableReadersTests::member).toList(), START_MILLIS);
		return new TableReaders(new Settings.TableReaders(perZone, 9), 1, membership);
	}

	private static Self self(boolean canRead, long readAgeMillis) {
		return new Self(false, canRead, readAgeMillis, POSITIONS);
	}

	private static void confirm(TableReaders readers, InstanceId by, boolean canRead, TablePosition position,
			long millis) {
		Confirmation confirmation = new Confirmation(position, millis);
		readers.report(by, canRead, confirmation, confirmation, POSITIONS);
	}

	/** The order as the members themselves see it, the first reader first. */
	private static List<InstanceId> order() {
		Map<InstanceId, Integer> ranks = new LinkedHashMap<>();
		for (int i = 0; i < MEMBERS; i++) {
			ranks.put(id(i), readers(i, 2).decide(self(true, 0), START_MILLIS).rank());
		}
		List<InstanceId> order = new ArrayList<>(ranks.keySet());
		order.sort(Comparator.comparing(ranks::get));
		Assert.assertEquals(ranks.values().stream().sorted().toList(), IntStream.range(0, MEMBERS).boxed().toList());
		return order;
	}

	private static int index(InstanceId id) {
		return Integer.parseInt(id.value().substring("edge-".length()));
	}

	private static Decision decide(TableReaders readers, long nowMillis) {
		return readers.decide(self(true, nowMillis), nowMillis);
	}

	@Test
	public void everyInstanceReadsIfTheSettingIsZero() {
		Assert.assertFalse(readers(0, 0).isOn());
		Assert.assertEquals(readers(0, 0).decide(self(true, 0), START_MILLIS).role(), Role.INDEPENDENT);
	}

	@Test
	public void everyInstanceReadsInAZoneBelowTheMinimum() {
		MembershipTable membership = MembershipTable.of(member(0), FAILURE_TIMEOUT_MILLIS);
		membership.mergeMembers(IntStream.range(0, 8).mapToObj(TableReadersTests::member).toList(), START_MILLIS);
		TableReaders readers = new TableReaders(new Settings.TableReaders(2, 9), 1, membership);
		Assert.assertEquals(readers.decide(self(true, 0), START_MILLIS).role(), Role.INDEPENDENT);
		membership.mergeMembers(List.of(member(8)), START_MILLIS);
		Assert.assertNotEquals(readers.decide(self(true, 0), START_MILLIS).role(), Role.INDEPENDENT);
	}

	@Test
	public void theFirstMembersReadAndAllSeeTheSameOrder() {
		List<InstanceId> order = order();
		MembershipTable membership = MembershipTable.of(member(0), FAILURE_TIMEOUT_MILLIS);
		membership.mergeMembers(IntStream.range(0, MEMBERS).mapToObj(TableReadersTests::member).toList(), START_MILLIS);
		Assert.assertEquals(order.get(0), membership.home(new ShardId(ZONE, 0), START_MILLIS).orElseThrow().id());
		for (int rank = 0; rank < MEMBERS; rank++) {
			Role expected = (rank == 0) ? Role.READER : (rank == 1) ? Role.STANDBY : Role.LEARNER;
			Assert.assertEquals(readers(index(order.get(rank)), 2).decide(self(true, 0), START_MILLIS).role(), expected,
					"rank " + rank);
		}
	}

	@Test
	public void aHomeReadsWhateverItsRank() {
		int last = index(order().get(MEMBERS - 1));
		Decision decision = readers(last, 2).decide(new Self(true, true, 0, POSITIONS), START_MILLIS);
		Assert.assertEquals(decision.role(), Role.READER);
		Assert.assertEquals(decision.reason(), "home");
	}

	/** Guards against a zone whose readers are those that cannot read the store. */
	@Test
	public void membersThatCannotReadTheStoreComeLast() {
		List<InstanceId> order = order();
		TableReaders readers = readers(index(order.get(2)), 2);
		confirm(readers, order.get(0), false, KNOWN, START_MILLIS);
		Assert.assertEquals(decide(readers, START_MILLIS).rank(), 1);
		confirm(readers, order.get(1), false, KNOWN, START_MILLIS);
		Assert.assertEquals(decide(readers, START_MILLIS).role(), Role.READER);
		Assert.assertEquals(readers.decide(self(false, 0), START_MILLIS).rank(), MEMBERS - 1);
		confirm(readers, order.get(0), true, KNOWN, START_MILLIS);
		Assert.assertEquals(decide(readers, START_MILLIS).rank(), 1);
	}

	/** Guards against copies that age because readers fail without notice. */
	@Test
	public void anInstanceReadsOnceItsCopiesAreTooOldUntilAMemberBeforeItConfirmsThem() {
		List<InstanceId> order = order();
		for (int rank = 2; rank < MEMBERS; rank++) {
			TableReaders readers = readers(index(order.get(rank)), 2);
			confirm(readers, order.get(0), true, KNOWN, START_MILLIS);
			long bound = Math.min(2_700, 1_800 + 100 * (rank - 2));
			Assert.assertEquals(decide(readers, START_MILLIS + bound).role(), Role.LEARNER, "rank " + rank);
			long late = START_MILLIS + bound + 1;
			Assert.assertEquals(decide(readers, late).reason(), "age", "rank " + rank);
			Assert.assertEquals(readers.decide(self(true, 0), late).role(), Role.READER, "own reads end nothing");
			confirm(readers, order.get(0), true, KNOWN, late - 500);
			Assert.assertEquals(readers.decide(self(true, 0), late).role(), Role.LEARNER);
		}
	}

	/** Guards against two instances that confirm each other and both stop to read. */
	@Test
	public void membersAfterAnInstanceDoNotConfirmItsCopies() {
		List<InstanceId> order = order();
		TableReaders readers = readers(index(order.get(5)), 2);
		confirm(readers, order.get(6), true, KNOWN, START_MILLIS + 10_000);
		Assert.assertEquals(decide(readers, START_MILLIS + 10_000).reason(), "age");
		confirm(readers, order.get(4), true, KNOWN, START_MILLIS + 10_000);
		Assert.assertEquals(decide(readers, START_MILLIS + 10_000).role(), Role.LEARNER);
	}

	/** Guards against an old copy that is taken for complete because a peer's is. */
	@Test
	public void aConfirmationHoldsOnlyOnceTheCopyHasReachedItsPosition() {
		List<InstanceId> order = order();
		TableReaders readers = readers(index(order.get(3)), 2);
		confirm(readers, order.get(0), true, NEWER, START_MILLIS);
		Assert.assertEquals(decide(readers, START_MILLIS).reason(), "age");
		Self advanced = new Self(false, true, START_MILLIS, new Positions(NEWER, NEWER));
		Assert.assertEquals(readers.decide(advanced, START_MILLIS + 1_000).role(), Role.LEARNER);
	}

	/**
	 * Guards against an instance that reads because, during a burst of changes, the
	 * newest heartbeat always names a position that it is about to fetch.
	 */
	@Test
	public void aNewerPositionDoesNotRevokeAnEarlierConfirmation() {
		List<InstanceId> order = order();
		TableReaders readers = readers(index(order.get(3)), 2);
		confirm(readers, order.get(0), true, KNOWN, START_MILLIS);
		confirm(readers, order.get(0), true, NEWER, START_MILLIS + 500);
		Assert.assertEquals(decide(readers, START_MILLIS + 1_000).role(), Role.LEARNER);
		Assert.assertEquals(decide(readers, START_MILLIS + 2_000).reason(), "age");
	}

	/** Guards against copies that are checked by the table that is read more often. */
	@Test
	public void theOlderCopyCounts() {
		List<InstanceId> order = order();
		TableReaders readers = readers(index(order.get(3)), 2);
		readers.report(order.get(0), true, new Confirmation(KNOWN, START_MILLIS + 5_000),
				new Confirmation(KNOWN, START_MILLIS), POSITIONS);
		Assert.assertEquals(decide(readers, START_MILLIS + 5_000).reason(), "age");
	}

	/** Guards against an instance that drains and reads only after the last member. */
	@Test
	public void aDrainingInstanceHasTheFirstBound() {
		MembershipTable membership = MembershipTable.of(member(0), FAILURE_TIMEOUT_MILLIS);
		membership.mergeMembers(IntStream.range(0, MEMBERS).mapToObj(TableReadersTests::member).toList(), START_MILLIS);
		membership.startDraining();
		TableReaders readers = new TableReaders(new Settings.TableReaders(2, 9), 1, membership);
		confirm(readers, id(5), true, KNOWN, START_MILLIS);
		Assert.assertEquals(decide(readers, START_MILLIS + 1_800).role(), Role.LEARNER);
		Assert.assertEquals(decide(readers, START_MILLIS + 1_801).role(), Role.READER);
	}

}
