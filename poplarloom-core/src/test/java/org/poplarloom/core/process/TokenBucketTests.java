package org.poplarloom.core.process;

import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests for {@link TokenBucket}.
 */
public class TokenBucketTests {

	@Test
	public void longRunRateIsTheSetRate() {
		for (long seed = 0; seed < 20; seed++) {
			Random random = new Random(seed);
			TokenBucket bucket = TokenBucket.of(100, 100, 0);
			double taken = 0;
			long now = 0;
			while (now < 100_000) {
				now += random.nextInt(10);
				double units = random.nextInt(20);
				taken += bucket.tryTake(units, now) ? units : 0;
			}
			Assert.assertEquals(taken / 100, 101, 1.5, "seed " + seed);
		}
	}

	@Test
	public void chargeLargerThanTheBurstIsTakenWhenFullAndPaidBack() {
		TokenBucket bucket = TokenBucket.of(10, 10, 0);
		Assert.assertTrue(bucket.tryTake(50, 0));
		Assert.assertFalse(bucket.tryTake(1, 4_000));
		Assert.assertEquals(bucket.millisUntil(1), 100);
		Assert.assertTrue(bucket.tryTake(1, 4_100));
	}

}
