package org.poplarloom.entry.process;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.Assert;
import org.testng.annotations.Test;
import sun.misc.Signal;

/**
 * Tests of {@link DeferredTask}.
 */
public class DeferredTaskTests {

	private static final long SIGNAL_TIMEOUT_MILLIS = 5_000;

	@Test
	public void requestsBeforeTheTaskIsKnownRunItOnce() {
		AtomicInteger runs = new AtomicInteger();
		DeferredTask deferred = new DeferredTask();
		deferred.run();
		deferred.run();
		deferred.set(runs::incrementAndGet);
		Assert.assertEquals(runs.get(), 1);
		deferred.run();
		Assert.assertEquals(runs.get(), 2);
	}

	/**
	 * Guards against a hang-up signal that ends a process which is still starting.
	 */
	@Test
	public void aHangupSignalDuringTheStartIsHandledAfterIt() throws InterruptedException {
		CountDownLatch received = new CountDownLatch(1);
		CountDownLatch reloaded = new CountDownLatch(1);
		DeferredTask reload = new DeferredTask();
		HangupSignal.handle(() -> {
			reload.run();
			received.countDown();
		});
		Signal.raise(new Signal("HUP"));
		Assert.assertTrue(received.await(SIGNAL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
		reload.set(reloaded::countDown);
		Assert.assertEquals(reloaded.getCount(), 0);
	}

}
