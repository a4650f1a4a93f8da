package org.poplarloom.core.process;

import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests for {@link TokenBucket}. They guard against a rate that differs from the
 * configured one and against charges above the burst size that are never admitted.
 */
public class TokenBucketTests {

	@Test
	public void longRunRateEqualsTheConfiguredRate() {
		for (long seed = 0; seed < 20; seed++) {
			Random random = new Random(seed);
			TokenBucket bucket = TokenBucket.of(100, 100, 0);
			double acquired = 0;
			long now = 0;
			while (now < 100_000) {
				now += random.nextInt(10);
				double units = random.nextInt(20);
				acquired += bucket.tryAcquire(units, now) ? units : 0;
			}
			Assert.assertEquals(acquired / 100, 101, 1.5, "seed " + seed);
		}
	}

	@Test
	public void chargeLargerThanTheBurstIsAdmittedWhenFullAndDelaysTheNext() {
		TokenBucket bucket = TokenBucket.of(10, 10, 0);
		Assert.assertTrue(bucket.tryAcquire(50, 0));
		Assert.assertFalse(bucket.tryAcquire(1, 4_000));
		Assert.assertEquals(bucket.millisUntil(1), 100);
		Assert.assertTrue(bucket.tryAcquire(1, 4_100));
	}

}
