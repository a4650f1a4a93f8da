package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;

/**
 * Tests for {@link MembershipTable}.
 */
public class MembershipTableTests {

	private static final AvailabilityZone ZONE = AvailabilityZone.of("gijon");

	private static final long TIMEOUT_MILLIS = 2_500;

	private static final ShardId SHARD = new ShardId(ZONE, 0);

	private static Member member(String id) {
		return new Member(InstanceId.of(id), ZONE, "127.0.0.1:1", 1, 0, false);
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
	public void leavingMemberIsNeverHome() {
		MembershipTable table = MembershipTable.of(member("a"), TIMEOUT_MILLIS);
		table.mergeMembers(List.of(member("b").withLeaving()), 0);
		Assert.assertEquals(table.home(SHARD, 1).orElseThrow().id(), InstanceId.of("a"));
		table.leave();
		Assert.assertTrue(table.home(SHARD, 1).isEmpty());
	}

	@Test
	public void newsOfAnEarlierProcessIsIgnored() {
		MembershipTable table = MembershipTable.of(member("a"), TIMEOUT_MILLIS);
		Member later = new Member(InstanceId.of("b"), ZONE, "127.0.0.1:2", 2, 0, false);
		table.mergeMembers(List.of(later), 0);
		table.mergeMembers(List.of(new Member(InstanceId.of("b"), ZONE, "127.0.0.1:1", 1, 99, false)), 10);
		Assert.assertEquals(table.live(ZONE, 20).get(1).address(), "127.0.0.1:2");
	}

	/**
	 * Runs gossip among the instances of a full-size zone and counts the rounds until a
	 * killed member is known to be dead everywhere.
	 */
	@Test
	public void deathIsKnownEverywhereWithinTheTimeoutAndAFewRounds() {
		int size = 27;
		long roundMillis = 500;
		int fanout = 3;
		Random random = new Random(5);
		List<MembershipTable> tables = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			tables.add(MembershipTable.of(member("m" + i), TIMEOUT_MILLIS));
		}
		for (MembershipTable table : tables) {
			tables.forEach((other) -> table.mergeMembers(List.of(other.self()), 0));
		}
		long now = 0;
		long killedMillis = 20_000;
		boolean isKnown = false;
		while (!isKnown && now < 60_000) {
			now += roundMillis;
			int live = (now > killedMillis) ? size - 1 : size;
			for (int i = 0; i < live; i++) {
				tables.get(i).heartbeat();
				for (int k = 0; k < fanout; k++) {
					List<Member> news = tables.get(i).gossipMembers(now, random);
					tables.get(random.nextInt(live)).mergeMembers(news, now);
				}
			}
			if (now > 5_000) {
				for (int i = 0; i < live; i++) {
					Assert.assertTrue(tables.get(i).live(ZONE, now).size() >= live, "false suspicion at " + now);
				}
			}
			long time = now;
			isKnown = now > killedMillis
					&& tables.subList(0, live).stream().allMatch((table) -> table.live(ZONE, time).size() == live);
		}
		Assert.assertTrue(isKnown && now - killedMillis <= TIMEOUT_MILLIS + 5 * roundMillis,
				"known after " + (now - killedMillis) + " ms");
	}

}
