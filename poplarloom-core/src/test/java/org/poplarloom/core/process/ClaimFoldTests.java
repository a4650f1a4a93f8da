package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests for {@link ClaimFold}.
 */
public class ClaimFoldTests {

	private static final int SEEDS = 500;

	@Test
	public void firstClaimWinsAndIsNeverTakenOver() {
		ClaimFold fold = new ClaimFold();
		ClaimRecord first = ClaimRecord.claim("k", "a", "f");
		ClaimRecord second = ClaimRecord.claim("k", "b", "f");
		fold.apply(0, first);
		fold.apply(1, second);
		Assert.assertTrue(fold.isWinner(first));
		Assert.assertFalse(fold.isWinner(second));
		fold.apply(2, second.withRelease());
		Assert.assertTrue(fold.isWinner(first));
		fold.apply(3, first.withOutcome(200, "text/plain", "done"));
		Assert.assertFalse(fold.isWinner(first));
		Assert.assertTrue(fold.state("k").isDone());
	}

	@Test
	public void claimReleasedBeforeItAppearsIsVoid() {
		ClaimFold fold = new ClaimFold();
		ClaimRecord lost = ClaimRecord.claim("k", "a", "f");
		fold.apply(0, lost.withRelease());
		fold.apply(1, lost);
		Assert.assertFalse(fold.isWinner(lost));
		Assert.assertNull(fold.state("k"));
	}

	/**
	 * Drives random claimants that run the order when they see that they hold the key,
	 * with records that are late, repeated and never read back.
	 */
	@Test
	public void randomClaimantsRunAnOrderAtMostOnce() {
		for (long seed = 0; seed < SEEDS; seed++) {
			Random random = new Random(seed);
			List<ClaimRecord> log = new ArrayList<>();
			List<ClaimRecord> late = new ArrayList<>();
			Set<String> abandoned = new HashSet<>();
			Set<String> ran = new HashSet<>();
			List<ClaimRecord> claims = new ArrayList<>();
			for (int step = 0; step < 80; step++) {
				if (claims.size() < 8 && random.nextInt(4) == 0) {
					ClaimRecord claim = ClaimRecord.claim("k", "c" + claims.size(), "f");
					claims.add(claim);
					(random.nextBoolean() ? log : late).add(claim);
				}
				if (!late.isEmpty() && random.nextInt(4) == 0) {
					log.add(late.get(random.nextInt(late.size())));
				}
				if (!claims.isEmpty()) {
					act(claims.get(random.nextInt(claims.size())), log, abandoned, ran, random);
				}
			}
			Assert.assertTrue(ran.size() <= 1, "seed " + seed + " ran " + ran);
		}
	}

	private static void act(ClaimRecord claim, List<ClaimRecord> log, Set<String> abandoned, Set<String> ran,
			Random random) {
		if (abandoned.contains(claim.claimId()) || ran.contains(claim.claimId())) {
			return;
		}
		ClaimFold fold = new ClaimFold();
		int read = log.size();
		for (int offset = 0; offset < read; offset++) {
			fold.apply(offset, log.get(offset));
		}
		if (random.nextInt(3) == 0) {
			abandoned.add(claim.claimId());
			log.add(claim.withRelease());
		}
		else if (fold.isWinner(claim)) {
			ran.add(claim.claimId());
			if (random.nextBoolean()) {
				log.add(claim.withOutcome(200, "", ""));
			}
		}
	}

}
