package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests for {@link ClaimReplay}. They guard against an order that runs twice because two
 * claimants consider themselves the holder of its key, for example when records of the
 * log arrive late or repeatedly.
 */
public class ClaimReplayTests {

	private static final int SEEDS = 500;

	@Test
	public void firstClaimHoldsTheKeyAndReleaseOfAnotherHasNoEffect() {
		ClaimReplay replay = new ClaimReplay();
		ClaimRecord first = ClaimRecord.claim("k", "a", "f");
		ClaimRecord second = ClaimRecord.claim("k", "b", "f");
		replay.apply(0, first);
		replay.apply(1, second);
		Assert.assertTrue(replay.isKeyHolder(first));
		Assert.assertFalse(replay.isKeyHolder(second));
		replay.apply(2, second.withRelease());
		Assert.assertTrue(replay.isKeyHolder(first));
		replay.apply(3, first.withOutcome(200, "text/plain", "done"));
		Assert.assertFalse(replay.isKeyHolder(first));
		Assert.assertTrue(replay.state("k").hasOutcome());
	}

	@Test
	public void claimWhoseReleasePrecedesItIsVoid() {
		ClaimReplay replay = new ClaimReplay();
		ClaimRecord lost = ClaimRecord.claim("k", "a", "f");
		replay.apply(0, lost.withRelease());
		replay.apply(1, lost);
		Assert.assertFalse(replay.isKeyHolder(lost));
		Assert.assertNull(replay.state("k"));
	}

	/**
	 * Simulates random claimants that run the order when they see that they hold the key;
	 * records of the log are late, repeated or missing.
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
		ClaimReplay replay = new ClaimReplay();
		int read = log.size();
		for (int offset = 0; offset < read; offset++) {
			replay.apply(offset, log.get(offset));
		}
		if (random.nextInt(3) == 0) {
			abandoned.add(claim.claimId());
			log.add(claim.withRelease());
		}
		else if (replay.isKeyHolder(claim)) {
			ran.add(claim.claimId());
			if (random.nextBoolean()) {
				log.add(claim.withOutcome(200, "", ""));
			}
		}
	}

}
