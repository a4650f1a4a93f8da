package org.poplarloom.entry.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.embedded.EmbeddedChannel;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.EndpointId;
import org.poplarloom.port.EndpointEntry;

/**
 * Tests for {@link EndpointLink}, in virtual time. Connections fail or succeed at once.
 */
public class EndpointLinkTests {

	private static final EndpointEntry FIRST = entry("i-1", "local");

	private static final EndpointEntry SECOND = entry("i-2", "local");

	private static final EndpointEntry FAR = entry("i-3", "far");

	private static final EndpointEntry FARTHER = entry("i-4", "far");

	private EmbeddedChannel channel;

	private long nowMillis;

	private final Set<String> reachable = new HashSet<>();

	private final List<String> probed = new ArrayList<>();

	private final List<EndpointId> blamed = new ArrayList<>();

	private int losses;

	private EndpointLink link;

	private static EndpointEntry entry(String id, String zone) {
		return new EndpointEntry(EndpointId.of(id), "model", id + ":1", AvailabilityZone.of(zone), 4, false, 0, 1, 1);
	}

	@BeforeMethod
	public void create() {
		this.channel = new EmbeddedChannel();
		this.channel.freezeTime();
		this.nowMillis = 0;
		this.losses = 0;
		this.reachable.clear();
		this.probed.clear();
		this.blamed.clear();
		this.link = new EndpointLink(AvailabilityZone.of("local"), () -> List.of(FIRST, SECOND, FAR, FARTHER),
				this::open, this.channel.eventLoop(), () -> this.nowMillis, () -> this.losses++);
	}

	private void open(String address, Consumer<Boolean> onResult) {
		this.probed.add(address);
		this.channel.eventLoop().execute(() -> onResult.accept(this.reachable.contains(address)));
	}

	private void advance(long millis) {
		for (long end = this.nowMillis + millis; this.nowMillis < end; this.nowMillis += 10) {
			this.channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
			this.channel.runScheduledPendingTasks();
			this.channel.runPendingTasks();
		}
	}

	private void fail(EndpointEntry entry) {
		this.link.recordUnreachable(entry.endpoint(), () -> this.blamed.add(entry.endpoint()));
	}

	/** Guards against an instance that takes one endpoint's failure for its own. */
	@Test
	public void isSoundWhileAnotherEndpointCanBeConnectedTo() {
		this.reachable.add(SECOND.address());
		advance(1_000);
		fail(FIRST);
		advance(1_000);
		Assert.assertEquals(this.probed, List.of(SECOND.address()));
		Assert.assertFalse(this.link.isLost());
		Assert.assertEquals(this.blamed, List.of(FIRST.endpoint()));
	}

	@Test
	public void isLostWhenNoEndpointCanBeConnectedTo() {
		advance(1_000);
		fail(FAR);
		advance(100);
		Assert.assertTrue(this.link.isLost());
		Assert.assertEquals(this.losses, 1);
		Assert.assertEquals(this.blamed, List.of());
	}

	/**
	 * Guards against the loss of all endpoints where a zone is cut off from the others.
	 */
	@Test
	public void isSoundWhileLocalEndpointsSendSomething() {
		this.reachable.addAll(List.of(FIRST.address(), SECOND.address()));
		advance(1_000);
		fail(FAR);
		fail(FARTHER);
		advance(1_000);
		Assert.assertEquals(this.losses, 0);
	}

	@Test
	public void endpointsThatWereConnectedToBeforeAreNotBlamed() {
		advance(1_000);
		this.link.recordContact(FIRST.endpoint(), true);
		fail(FIRST);
		this.link.recordContact(FIRST.endpoint(), true);
		Assert.assertEquals(this.blamed, List.of());
	}

	/** Guards against homes that doubt an endpoint since only new connections fail. */
	@Test
	public void endpointsAreNotBlamedBecauseOpenConnectionsWork() {
		fail(FIRST);
		this.link.recordContact(SECOND.endpoint(), false);
		Assert.assertEquals(this.blamed, List.of());
	}

	@Test
	public void isFoundLostWhileAResponseIsAwaited() {
		this.link.startAwaiting(this, FIRST.endpoint(), FIRST.address());
		advance(1_500);
		Assert.assertTrue(this.link.isLost());
	}

	@Test
	public void longSilenceAloneIsNoLoss() {
		this.reachable.add(FIRST.address());
		this.link.startAwaiting(this, FIRST.endpoint(), FIRST.address());
		advance(3_000);
		Assert.assertEquals(this.losses, 0);
		this.link.stopAwaiting(this);
		int before = this.probed.size();
		advance(3_000);
		Assert.assertEquals(this.probed.size(), before, "nothing is probed while nothing is awaited");
	}

	@Test
	public void isRegainedWhenAnEndpointCanBeConnectedTo() {
		advance(1_000);
		fail(FIRST);
		advance(100);
		Assert.assertTrue(this.link.isLost());
		this.reachable.add(FAR.address());
		this.reachable.add(FARTHER.address());
		this.reachable.add(SECOND.address());
		advance(600);
		Assert.assertFalse(this.link.isLost());
	}

}
