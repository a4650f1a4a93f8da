package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests for {@link RendezvousHashing}. They guard against members that get far more keys
 * than others, and against keys that move although their member is still there.
 */
public class RendezvousHashingTests {

	private static final int KEYS = 27_000;

	@Test
	public void keysSpreadEvenlyAndOnlyThoseOfALostMemberMove() {
		List<String> members = new ArrayList<>();
		for (int i = 0; i < 27; i++) {
			members.add("member-" + i);
		}
		List<String> fewer = members.subList(0, 26);
		Map<String, Integer> counts = new HashMap<>();
		for (int key = 0; key < KEYS; key++) {
			String chosen = RendezvousHashing.choose("key-" + key, members).orElseThrow();
			counts.merge(chosen, 1, Integer::sum);
			if (!chosen.equals("member-26")) {
				Assert.assertEquals(RendezvousHashing.choose("key-" + key, fewer).orElseThrow(), chosen);
			}
		}
		counts.values().forEach((count) -> Assert.assertEquals(count, KEYS / 27.0, KEYS / 27.0 * 0.2));
	}

	@Test
	public void noMembersGiveAnEmptyChoice() {
		Assert.assertTrue(RendezvousHashing.choose("key", List.of()).isEmpty());
	}

}
