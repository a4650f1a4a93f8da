package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;

/**
 * Tests for {@link MembershipTable}. They guard against failed or draining instances that
 * count as live, and against live ones that are not found.
 */
public class MembershipTableTests {

	private static final AvailabilityZone ZONE = AvailabilityZone.of("gijon");

	private static final long TIMEOUT_MILLIS = 2_500;

	private static final ShardId SHARD = new ShardId(ZONE, 0);

	private static Member member(String id) {
		return new Member(InstanceId.of(id), ZONE, "127.0.0.1:1", 1, 0, false, 0);
	}

	@Test
	public void memberIsLiveWhileItsHeartbeatGrows() {
		MembershipTable table = MembershipTable.of(member("a"), TIMEOUT_MILLIS);
		Member other = member("b");
		table.mergeMembers(List.of(other), 0);
		table.mergeMembers(List.of(other), 2_000);
		Assert.assertEquals(table.live(ZONE, 2_500).size(), 2);
		Assert.assertEquals(table.live(ZONE, 2_501).size(), 1);
		table.mergeMembers(List.of(other.plusHeartbeat()), 2_600);
		Assert.assertEquals(table.live(ZONE, 2_700).size(), 2);
	}

	@Test
	public void memberIsSilentAfterTheTimeoutUntilItIsHeardOrTakenForEnded() {
		MembershipTable table = MembershipTable.of(member("a"), TIMEOUT_MILLIS);
		table.mergeMembers(List.of(member("b"), member("c").withDraining()), 0);
		Assert.assertFalse(table.hasSilentMember(20_000, 2_500));
		Assert.assertTrue(table.hasSilentMember(20_000, 2_501));
		Assert.assertTrue(table.hasSilentMember(20_000, 20_000));
		Assert.assertFalse(table.hasSilentMember(20_000, 20_001));
		table.mergeMembers(List.of(member("b").plusHeartbeat()), 20_100);
		Assert.assertFalse(table.hasSilentMember(20_000, 20_200));
	}

	@Test
	public void drainingMemberIsHomeOnlyWhileAllOthersDrain() {
		MembershipTable table = MembershipTable.of(member("a"), TIMEOUT_MILLIS);
		table.mergeMembers(List.of(member("b").withDraining()), 0);
		Assert.assertEquals(table.home(SHARD, 1).orElseThrow().id(), InstanceId.of("a"));
		table.startDraining();
		MembershipTable other = MembershipTable.of(member("b").withDraining(), TIMEOUT_MILLIS);
		other.mergeMembers(List.of(table.self()), 0);
		Assert.assertEquals(table.home(SHARD, 1).orElseThrow().id(), other.home(SHARD, 1).orElseThrow().id());
		table.mergeMembers(List.of(member("c")), 1);
		Assert.assertEquals(table.home(SHARD, 1).orElseThrow().id(), InstanceId.of("c"));
	}

	@Test
	public void updateOfAnEarlierIncarnationIsIgnored() {
		MembershipTable table = MembershipTable.of(member("a"), TIMEOUT_MILLIS);
		Member later = new Member(InstanceId.of("b"), ZONE, "127.0.0.1:2", 2, 0, false, 0);
		table.mergeMembers(List.of(later), 0);
		table.mergeMembers(List.of(new Member(InstanceId.of("b"), ZONE, "127.0.0.1:1", 1, 99, false, 0)), 10);
		Assert.assertEquals(table.live(ZONE, 20).get(1).address(), "127.0.0.1:2");
	}

	@Test
	public void heartbeatOfAnUnknownIncarnationIsIgnored() {
		MembershipTable table = MembershipTable.of(member("a"), TIMEOUT_MILLIS);
		Assert.assertTrue(table.recordHeartbeat(InstanceId.of("b"), 1, 5, 0).isEmpty());
		table.mergeMembers(List.of(member("b")), 0);
		Assert.assertTrue(table.recordHeartbeat(InstanceId.of("b"), 2, 5, 2_000).isEmpty());
		Assert.assertTrue(table.recordHeartbeat(InstanceId.of("b"), 1, 5, 2_000).isPresent());
		Assert.assertEquals(table.live(ZONE, 4_500).size(), 2);
		table.recordHeartbeat(InstanceId.of("b"), 1, 5, 4_500);
		Assert.assertEquals(table.live(ZONE, 4_600).size(), 1, "a repeated heartbeat does not count");
	}

	@Test
	public void statusesOfOtherZonesStayValidLonger() {
		MembershipTable table = MembershipTable.of(member("a"), TIMEOUT_MILLIS);
		ShardId other = new ShardId(AvailabilityZone.of("bilbao"), 0);
		table.mergeShards(List.of(status(SHARD), status(other)), 0);
		Assert.assertEquals(table.liveShards(2_600).size(), 1);
		Assert.assertEquals(table.liveShards(10_001).size(), 0);
	}

	// A home's clock may jump, so only the time since the receipt of a status is its age.
	@Test
	public void ageOfAStatusCountsFromItsReceipt() {
		MembershipTable table = MembershipTable.of(member("a"), TIMEOUT_MILLIS);
		long farAheadMillis = 1_000_000_000;
		table.mergeShards(
				List.of(new ShardStatus(SHARD, InstanceId.of("h"), "127.0.0.1:9", farAheadMillis, HomeSummary.UNKNOWN)),
				500);
		Assert.assertEquals(table.statusAges(1_200).get(SHARD), Long.valueOf(700));
	}

	private static ShardStatus status(ShardId shard) {
		return new ShardStatus(shard, InstanceId.of("h"), "127.0.0.1:9", 1, HomeSummary.UNKNOWN);
	}

	/**
	 * Gossips with bounded messages, starting from one instance that knows all others,
	 * until all instances of a full-size zone know each other.
	 */
	@Test
	public void boundedGossipReachesAllMembersOfAZone() {
		int size = 27;
		Random random = new Random(5);
		List<MembershipTable> tables = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			tables.add(MembershipTable.of(member("m" + i), 1_000_000));
			tables.get(0).mergeMembers(List.of(tables.get(i).self()), 0);
		}
		int rounds = 0;
		while (rounds < 100 && tables.stream().anyMatch((table) -> table.live(ZONE, 1).size() < size)) {
			rounds++;
			for (MembershipTable table : tables) {
				List<Member> updates = table.gossipMembers(1, random);
				Assert.assertTrue(updates.size() <= MembershipTable.MAX_GOSSIP_MEMBERS);
				tables.get(random.nextInt(size)).mergeMembers(updates, 1);
			}
		}
		Assert.assertTrue(rounds <= 30, "rounds " + rounds);
	}

	@Test
	public void homeIsOnALargeInstanceWhileOneIsLive() {
		for (int shard = 0; shard < 40; shard++) {
			Assert.assertTrue(homeAmong(shard, 0, 0.36, 1.5).startsWith("large"));
		}
		Assert.assertTrue(homeAmong(0, 3_000, 0.36, 1.5).startsWith("small"), "large instances are silent");
	}

	@Test
	public void sizeDoesNotCountWhileAMemberDoesNotNameIt() {
		Set<String> withSizes = new HashSet<>();
		Set<String> withoutSizes = new HashSet<>();
		for (int shard = 0; shard < 40; shard++) {
			withSizes.add(homeAmong(shard, 0, 0, 1.5));
			withoutSizes.add(homeAmong(shard, 0, 0, 0));
		}
		Assert.assertEquals(withSizes, withoutSizes);
	}

	private static String homeAmong(int shard, long largeSilentMillis, double smallCores, double largeCores) {
		long now = 10_000;
		MembershipTable table = MembershipTable.of(sized("small-0", smallCores), TIMEOUT_MILLIS);
		for (int i = 1; i < 16; i++) {
			table.mergeMembers(List.of(sized("small-" + i, smallCores)), now);
		}
		for (int i = 0; i < 3; i++) {
			table.mergeMembers(List.of(sized("large-" + i, largeCores)), now - largeSilentMillis);
		}
		return table.home(new ShardId(ZONE, shard), now).orElseThrow().id().value();
	}

	private static Member sized(String id, double cpuCores) {
		return new Member(InstanceId.of(id), ZONE, "127.0.0.1:1", 1, 0, false, cpuCores);
	}

}
