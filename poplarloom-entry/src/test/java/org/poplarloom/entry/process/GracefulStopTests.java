package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.ConcurrentModificationException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.channel.DefaultEventLoop;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of {@link GracefulStop} with an instance that records who calls it and fails when
 * it is told to.
 */
public class GracefulStopTests {

	private static final long GRACE_MILLIS = 1_500;

	/** The end of the grace time is reserved for the exit of the process. */
	private static final long SHORTEST_DRAIN_MILLIS = 800;

	private static final long MAX_TEST_MILLIS = 10_000;

	private DefaultEventLoop loop;

	private BusyInstance instance;

	@BeforeMethod
	public void create() {
		this.loop = new DefaultEventLoop();
		this.instance = new BusyInstance();
	}

	@AfterMethod(alwaysRun = true)
	public void end() {
		this.loop.shutdownGracefully();
	}

	private long runStop() {
		long startNanos = System.nanoTime();
		new GracefulStop(this.loop, this.instance, GRACE_MILLIS).run();
		return (System.nanoTime() - startNanos) / 1_000_000;
	}

	/**
	 * Guards against a stop that reads the event loop's state from its own thread, where
	 * a connection that opens at that moment ends it.
	 */
	@Test(timeOut = MAX_TEST_MILLIS)
	public void theInstanceIsUsedOnlyOnItsEventLoop() {
		runStop();
		Assert.assertEquals(this.instance.callsElsewhere, List.of());
		Assert.assertEquals(this.instance.called,
				Set.of("requestsInProgress", "disableKeepAlive", "announceStop", "stopAdmitting", "endRequests"));
	}

	@DataProvider
	public static Object[][] steps() {
		return new Object[][] { { "requestsInProgress" }, { "disableKeepAlive" }, { "announceStop" },
				{ "stopAdmitting" }, { "endRequests" } };
	}

	/**
	 * Guards against a stop that ends with its first failure, so that the process cuts
	 * off the requests in progress.
	 */
	@Test(dataProvider = "steps", timeOut = MAX_TEST_MILLIS)
	public void aStepThatFailsDoesNotEndTheDrain(String step) {
		this.instance.failing.add(step);
		long millis = runStop();
		Assert.assertTrue(millis >= SHORTEST_DRAIN_MILLIS, "ended after " + millis + " ms");
		Assert.assertTrue(this.instance.called.contains("endRequests"), this.instance.called.toString());
		Assert.assertTrue(this.instance.called.contains("stopAdmitting"), this.instance.called.toString());
	}

	/** Guards against a stop that waits for an event loop which has ended. */
	@Test(timeOut = MAX_TEST_MILLIS)
	public void anEventLoopThatHasEndedIsNotWaitedFor() {
		this.loop.shutdownGracefully().syncUninterruptibly();
		long millis = runStop();
		Assert.assertTrue(millis < SHORTEST_DRAIN_MILLIS, "ended after " + millis + " ms");
	}

	/**
	 * An instance whose request does not end before it is told to. This class is
	 * thread-safe.
	 */
	private final class BusyInstance implements GracefulStop.Drainable {

		private final Set<String> called = ConcurrentHashMap.newKeySet();

		private final Set<String> failing = ConcurrentHashMap.newKeySet();

		private final List<String> callsElsewhere = Collections.synchronizedList(new ArrayList<>());

		private volatile boolean ended;

		private void record(String step) {
			this.called.add(step);
			if (!GracefulStopTests.this.loop.inEventLoop()) {
				this.callsElsewhere.add(step);
			}
			if (this.failing.contains(step)) {
				throw new ConcurrentModificationException(step);
			}
		}

		@Override
		public long requestsInProgress() {
			record("requestsInProgress");
			return this.ended ? 0 : 1;
		}

		@Override
		public long forwardedRequestsInProgress() {
			record("forwardedRequestsInProgress");
			return 0;
		}

		@Override
		public void disableKeepAlive() {
			record("disableKeepAlive");
		}

		@Override
		public void announceStop() {
			record("announceStop");
		}

		@Override
		public void stopAdmitting() {
			record("stopAdmitting");
		}

		@Override
		public void endRequests() {
			record("endRequests");
			this.ended = true;
		}

	}

}
