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

	private static EndpointEntry entry(String id, String zone) {
		return new EndpointEntry(EndpointId.of(id), "model", id + ":1", AvailabilityZone.of(zone), 4, false, 0, 1, 1);
	}

	/**
	 * A link to two local and two other endpoints. It is not thread-safe.
	 */
	public abstract static class Fixture {

		private EmbeddedChannel channel;

		private long nowMillis;

		final Set<String> reachable = new HashSet<>();

		/** Connections to them are opened by something that never answers. */
		final Set<String> accepting = new HashSet<>();

		final List<String> probed = new ArrayList<>();

		final List<EndpointId> blamed = new ArrayList<>();

		int losses;

		EndpointLink link;

		@BeforeMethod
		public void create() {
			this.channel = new EmbeddedChannel();
			this.channel.freezeTime();
			this.nowMillis = 0;
			this.losses = 0;
			this.reachable.clear();
			this.accepting.clear();
			this.probed.clear();
			this.blamed.clear();
			this.link = new EndpointLink(AvailabilityZone.of("local"), () -> List.of(FIRST, SECOND, FAR, FARTHER),
					new RecordingProber(), this.channel.eventLoop(), () -> this.nowMillis, () -> this.losses++);
		}

		void advance(long millis) {
			for (long end = this.nowMillis + millis; this.nowMillis < end; this.nowMillis += 10) {
				this.channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
				this.channel.runScheduledPendingTasks();
				this.channel.runPendingTasks();
			}
		}

		void fail(EndpointEntry entry) {
			this.link.recordUnreachable(entry.endpoint(), () -> this.blamed.add(entry.endpoint()));
		}

		/**
		 * Connects to the addresses that a test names, and records them. It is not
		 * thread-safe; the test's thread uses it.
		 */
		private final class RecordingProber implements EndpointLink.Prober {

			@Override
			public void open(String address, Consumer<Boolean> onResult) {
				report(address, Fixture.this.reachable.contains(address) || Fixture.this.accepting.contains(address),
						onResult);
			}

			@Override
			public void askForStatus(String address, Consumer<Boolean> onResult) {
				report(address, Fixture.this.reachable.contains(address), onResult);
			}

			private void report(String address, boolean result, Consumer<Boolean> onResult) {
				Fixture.this.probed.add(address);
				Fixture.this.channel.eventLoop().execute(() -> onResult.accept(result));
			}

		}

	}

	/**
	 * Connections that cannot be opened.
	 */
	public static class UnreachableEndpoints extends Fixture {

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
		 * Guards against the loss of all endpoints where a zone is cut off from the
		 * others.
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

		/**
		 * Guards against homes that doubt an endpoint since only new connections fail.
		 */
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

	/**
	 * Connections that something opens which does not pass anything on.
	 */
	public static class ConnectionsWithoutAnswers extends Fixture {

		private void acceptAll() {
			List.of(FIRST, SECOND, FAR, FARTHER).forEach((entry) -> this.accepting.add(entry.address()));
		}

		/**
		 * Guards against an instance that takes a connection that was opened and reset
		 * for a sign that its endpoints can be reached.
		 */
		@Test
		public void isLostWhenNewConnectionsEndWithoutAnAnswer() {
			acceptAll();
			advance(1_000);
			this.link.recordUnanswered(FAR.endpoint(), 0);
			Assert.assertTrue(this.link.isInDoubt());
			advance(600);
			Assert.assertTrue(this.link.isLost());
			Assert.assertEquals(this.losses, 1);
		}

		/** Guards against requests that are sent in the first moments of a lost link. */
		@Test
		public void isInDoubtAtOnceAndLostAfterTheSilence() {
			acceptAll();
			advance(1_000);
			this.link.recordContact(FIRST.endpoint(), false);
			advance(50);
			this.link.recordUnanswered(FIRST.endpoint(), 10);
			Assert.assertTrue(this.link.isInDoubt());
			Assert.assertFalse(this.link.isLost());
			advance(EndpointLink.SILENCE_MILLIS + 600);
			Assert.assertTrue(this.link.isLost());
		}

		/** Guards against an instance that waits for answers that nobody passes on. */
		@Test
		public void isFoundLostWhileAResponseIsAwaitedOnAnOpenConnection() {
			acceptAll();
			this.link.startAwaiting(this, FIRST.endpoint(), FIRST.address());
			advance(2_500);
			Assert.assertTrue(this.link.isLost());
		}

		/**
		 * Guards against a link that counts as regained because a connection is opened.
		 */
		@Test
		public void isRegainedOnlyByAnAnswer() {
			acceptAll();
			advance(1_000);
			this.link.recordUnanswered(FIRST.endpoint(), 0);
			advance(3_000);
			Assert.assertTrue(this.link.isLost());
			Assert.assertEquals(this.losses, 1);
			this.reachable.addAll(this.accepting);
			advance(1_000);
			Assert.assertFalse(this.link.isInDoubt());
		}

		/** Guards against an instance that takes one endpoint's failure for its own. */
		@Test
		public void doubtEndsWhenAnotherEndpointAnswers() {
			this.reachable.add(SECOND.address());
			this.accepting.add(FIRST.address());
			advance(1_000);
			this.link.recordUnanswered(FIRST.endpoint(), 0);
			advance(600);
			Assert.assertFalse(this.link.isInDoubt());
			Assert.assertEquals(this.losses, 0);
		}

		/**
		 * Guards against a loss where all connections that were open are reset at once.
		 */
		@Test
		public void connectionsFromBeforeTheLastAnswerAreNoSign() {
			this.link.recordContact(FIRST.endpoint(), false);
			advance(1_000);
			this.link.recordUnanswered(FIRST.endpoint(), 1_500);
			this.link.recordUnanswered(SECOND.endpoint(), 1_500);
			Assert.assertFalse(this.link.isInDoubt());
		}

		/** Guards against the loss of endpoints that are paused one after the other. */
		@Test
		public void oneSilentEndpointIsNoLoss() {
			this.accepting.add(FIRST.address());
			this.reachable.addAll(List.of(SECOND.address(), FAR.address(), FARTHER.address()));
			this.link.startAwaiting(this, FIRST.endpoint(), FIRST.address());
			advance(10_000);
			Assert.assertEquals(this.losses, 0);
		}

	}

}
