package org.poplarloom.core.process;

import java.util.List;
import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;

/**
 * Guards against a home that grants at once although an instance may hold grants of an
 * earlier home.
 */
public class JointStartTests {

	private static final AvailabilityZone ZONE = AvailabilityZone.of("norte-a");

	private static final ShardId SHARD = new ShardId(ZONE, 0);

	private static final long START_MILLIS = 1_700_000_000_000L;

	private static final long SPREAD_MILLIS = 1_000;

	private static final InstanceId OWN = InstanceId.of("own");

	private static final InstanceId PEER = InstanceId.of("peer");

	private static final Set<InstanceId> LISTED = Set.of(OWN, PEER);

	private JointStart start;

	@BeforeMethod
	public void create() {
		this.start = new JointStart(member(OWN, START_MILLIS, 0), SPREAD_MILLIS);
	}

	private static Member member(InstanceId id, long incarnation, long heartbeat) {
		return new Member(id, ZONE, "10.0.0.1:1", incarnation, heartbeat, false, 1);
	}

	private void hear(long incarnation, long heartbeat) {
		this.start.recordMembers(List.of(member(PEER, incarnation, heartbeat)), 1);
	}

	@Test
	public void isFirstWhenAllListedInstancesStartedTogether() {
		hear(START_MILLIS - SPREAD_MILLIS, 2);
		Assert.assertTrue(this.start.isFirstHome(SHARD, LISTED));
	}

	@Test
	public void isNotFirstBeforeAListedInstanceWasHeard() {
		Assert.assertFalse(this.start.isFirstHome(SHARD, LISTED));
	}

	@Test
	public void isNotFirstBeforeTheListWasRead() {
		hear(START_MILLIS, 1);
		Assert.assertFalse(this.start.isFirstHome(SHARD, Set.of()));
	}

	@Test
	public void isNotFirstWhenAnInstanceStartedEarlier() {
		hear(START_MILLIS - SPREAD_MILLIS - 1, 1);
		Assert.assertFalse(this.start.isFirstHome(SHARD, LISTED));
	}

	@Test
	public void isNotFirstWhenTheHeartbeatsShowAnEarlierStartThanTheClock() {
		hear(START_MILLIS + 60_000, 100);
		Assert.assertFalse(this.start.isFirstHome(SHARD, LISTED));
	}

	@Test
	public void isNotFirstAfterAnInstanceStartedAgain() {
		hear(START_MILLIS, 1);
		hear(START_MILLIS + 500, 0);
		Assert.assertFalse(this.start.isFirstHome(SHARD, LISTED));
	}

	@Test
	public void isNotFirstAfterAnotherHomeWasHeard() {
		hear(START_MILLIS, 1);
		this.start.recordShards(List.of(new ShardStatus(SHARD, PEER, "10.0.0.1:1", START_MILLIS, HomeSummary.UNKNOWN)));
		Assert.assertFalse(this.start.isFirstHome(SHARD, LISTED));
		Assert.assertTrue(this.start.isFirstHome(new ShardId(ZONE, 1), LISTED));
	}

	@Test
	public void isNotFirstAfterItStoppedBeingTheHome() {
		hear(START_MILLIS, 1);
		this.start.recordStepDown(SHARD);
		Assert.assertFalse(this.start.isFirstHome(SHARD, LISTED));
	}

}
