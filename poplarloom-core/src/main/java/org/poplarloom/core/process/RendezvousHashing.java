package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses one member for a key by rendezvous hashing (highest random weight).
 * <p>
 * Instances with the same list of members make the same choice, and the loss of a member
 * moves only the keys that were assigned to it. This class has no state and is
 * thread-safe.
 */
public final class RendezvousHashing {

	private RendezvousHashing() {
	}

	/**
	 * Chooses a member for a key.
	 * @param <T> the type of the members
	 * @param key the key
	 * @param members the members; their string representations must differ
	 * @return the chosen member, or empty if there are none
	 */
	public static <T> Optional<T> choose(String key, Collection<T> members) {
		T best = null;
		long bestWeight = 0;
		for (T member : members) {
			long weight = weight(key, member.toString());
			if (best == null || weight > bestWeight) {
				best = member;
				bestWeight = weight;
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Orders members by their weights for a key.
	 * @param <T> the type of the members
	 * @param key the key
	 * @param members the members; their string representations must differ
	 * @return the members, the one that {@link #choose} would choose first
	 */
	public static <T> List<T> order(String key, Collection<T> members) {
		Map<T, Long> weights = new HashMap<>();
		members.forEach((member) -> weights.put(member, weight(key, member.toString())));
		List<T> ordered = new ArrayList<>(members);
		ordered.sort(Comparator.<T>comparingLong(weights::get).reversed());
		return ordered;
	}

	private static long weight(String key, String member) {
		long hash = 0xcbf29ce484222325L;
		hash = mix(hash, key);
		hash = mix(hash ^ '/', member);
		hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
		hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return hash ^ (hash >>> 33);
	}

	private static long mix(long hash, String text) {
		long mixed = hash;
		for (int i = 0; i < text.length(); i++) {
			mixed = (mixed ^ text.charAt(i)) * 0x100000001b3L;
		}
		return mixed;
	}

}
