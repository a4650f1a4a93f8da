package org.poplarloom.core.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonIgnore;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.EndpointId;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.TeamId;

/**
 * One version of the configuration, replayed from the publications up to an offset.
 * <p>
 * Two instances that have replayed the same publications have equal configurations with
 * equal digests. The offset never decreases from one version to the next. This class is
 * immutable and thread-safe.
 */
public final class Configuration {

	/** The configuration before the first publication. */
	public static final Configuration EMPTY = new Configuration(Publication.NO_OFFSET, Map.of(), Map.of(), Map.of());

	/** The maximum number of publication ids kept to detect repeated appends. */
	static final int MAX_APPLIED_IDS = 16_384;

	private final long offset;

	private final Map<String, Entry> entries;

	private final Map<String, Long> appliedIds;

	private final Map<String, Contract> contractsByKeyHash;

	private final long digest;

	private Configuration(long offset, Map<String, Entry> entries, Map<String, Long> appliedIds,
			Map<String, Contract> contractsByKeyHash) {
		this.offset = offset;
		this.entries = entries;
		this.appliedIds = appliedIds;
		this.contractsByKeyHash = contractsByKeyHash;
		this.digest = entries.entrySet().stream().mapToLong(Configuration::entryDigest).sum();
	}

	/**
	 * Returns the configuration that a snapshot describes.
	 * @param snapshot a snapshot of the complete content
	 * @return the configuration
	 */
	public static Configuration of(Snapshot snapshot) {
		return EMPTY.withSnapshot(snapshot);
	}

	private static Map<String, Contract> indexByKeyHash(Map<String, Entry> entries) {
		Map<String, Contract> index = new HashMap<>();
		for (Entry entry : entries.values()) {
			if (entry.change() instanceof Change.PutContract put) {
				put.contract().keyHashes().forEach((hash) -> index.put(hash, put.contract()));
			}
		}
		return index;
	}

	private static long entryDigest(Map.Entry<String, Entry> entry) {
		long mixed = 31L * entry.getKey().hashCode() + entry.getValue().offset();
		mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
		return mixed ^ (mixed >>> 33);
	}

	/**
	 * Returns the highest offset that the configuration covers.
	 * @return the offset, or {@link Publication#NO_OFFSET}
	 */
	public long offset() {
		return this.offset;
	}

	/**
	 * Returns a digest of the subjects and the offsets of their last changes.
	 * @return the digest
	 */
	public long digest() {
		return this.digest;
	}

	/**
	 * Finds the contract that a key belongs to.
	 * @param keyHash the lower-case hexadecimal SHA-256 hash of the key
	 * @return the contract, or empty
	 */
	public Optional<Contract> contractOfKey(String keyHash) {
		return Optional.ofNullable(this.contractsByKeyHash.get(keyHash));
	}

	/**
	 * Finds the contract of a team.
	 * @param team the team
	 * @return the contract, or empty
	 */
	public Optional<Contract> contract(TeamId team) {
		Entry entry = this.entries.get(Subject.of(team).value());
		return Optional.ofNullable(entry).map((found) -> ((Change.PutContract) found.change()).contract());
	}

	/**
	 * Returns all contracts.
	 * @return the contracts in no particular order
	 */
	public List<Contract> contracts() {
		List<Contract> contracts = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (entry.change() instanceof Change.PutContract put) {
				contracts.add(put.contract());
			}
		}
		return contracts;
	}

	/**
	 * Returns the desired state of every model that has one.
	 * @return the changes in no particular order
	 */
	public List<Change.SetModel> models() {
		List<Change.SetModel> models = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (entry.change() instanceof Change.SetModel model) {
				models.add(model);
			}
		}
		return models;
	}

	/**
	 * Returns whether a zone takes no new work.
	 * @param zone the zone
	 * @return true if it was taken out
	 */
	public boolean isZoneOut(AvailabilityZone zone) {
		Entry entry = this.entries.get(Subject.of(zone).value());
		return entry != null && ((Change.SetZone) entry.change()).isOut();
	}

	/**
	 * Returns whether an endpoint takes no new work.
	 * @param endpoint the endpoint
	 * @return true if it was taken out
	 */
	public boolean isEndpointOut(EndpointId endpoint) {
		return isInstanceOut(InstanceId.of(endpoint.value()));
	}

	/**
	 * Returns whether an instance takes no new work.
	 * @param instance the instance
	 * @return true if it was taken out
	 */
	public boolean isInstanceOut(InstanceId instance) {
		Entry entry = this.entries.get(Subject.of(instance).value());
		return entry != null && ((Change.SetInstance) entry.change()).isOut();
	}

	/**
	 * Returns the offset of the last change of a subject.
	 * @param subject the subject
	 * @return the offset, or {@link Publication#NO_OFFSET}
	 */
	public long offsetOf(Subject subject) {
		Entry entry = this.entries.get(subject.value());
		return (entry != null) ? entry.offset() : Publication.NO_OFFSET;
	}

	/**
	 * Returns whether a publication was applied.
	 * @param publicationId the identity of the publish call
	 * @return true if it was applied, false if it was not read yet or conflicted
	 */
	public boolean hasApplied(String publicationId) {
		return this.appliedIds.containsKey(publicationId);
	}

	/**
	 * Applies one more publication.
	 * <p>
	 * The content stays the same if the offset is already covered, or if the publication
	 * is a repeated append or conflicts with an earlier one.
	 * @param publicationOffset the offset of the publication
	 * @param publication the publication
	 * @return the next version
	 */
	public Configuration withPublication(long publicationOffset, Publication publication) {
		if (publicationOffset <= this.offset) {
			return this;
		}
		if (hasApplied(publication.id()) || isConflict(publication)) {
			return withOffset(publicationOffset);
		}
		Map<String, Entry> nextEntries = new HashMap<>(this.entries);
		nextEntries.put(publication.change().subject().value(), new Entry(publicationOffset, publication.change()));
		Map<String, Long> nextIds = new LinkedHashMap<>(this.appliedIds);
		nextIds.put(publication.id(), publicationOffset);
		removeOldest(nextIds);
		boolean isContract = publication.change() instanceof Change.PutContract;
		Map<String, Contract> index = isContract ? indexByKeyHash(nextEntries) : this.contractsByKeyHash;
		return new Configuration(publicationOffset, nextEntries, nextIds, index);
	}

	/**
	 * Returns the same content at a higher offset.
	 * @param newOffset the offset
	 * @return the configuration; this one if the offset is not higher
	 */
	public Configuration withOffset(long newOffset) {
		return (newOffset <= this.offset) ? this
				: new Configuration(newOffset, this.entries, this.appliedIds, this.contractsByKeyHash);
	}

	private boolean isConflict(Publication publication) {
		long expected = publication.expectedOffset();
		return expected != Publication.ANY_OFFSET && expected != offsetOf(publication.change().subject());
	}

	/**
	 * Returns a snapshot from which an equal configuration can be created.
	 * @return a snapshot of the complete content
	 */
	public Snapshot toSnapshot() {
		return changesSince(Publication.NO_OFFSET);
	}

	/**
	 * Returns what has changed since an offset.
	 * @param baseOffset the offset that the reader has
	 * @return the changes
	 */
	public Snapshot changesSince(long baseOffset) {
		List<Entry> changed = this.entries.values().stream().filter((entry) -> entry.offset() > baseOffset).toList();
		Map<String, Long> ids = new LinkedHashMap<>();
		this.appliedIds.forEach((id, appliedOffset) -> {
			if (appliedOffset > baseOffset) {
				ids.put(id, appliedOffset);
			}
		});
		return new Snapshot(baseOffset, this.offset, changed, ids);
	}

	/**
	 * Applies the changes that a snapshot describes.
	 * @param snapshot the snapshot; ignored if it is not newer than this version or if
	 * its base offset is higher than the offset of this version
	 * @return the next version
	 */
	public Configuration withSnapshot(Snapshot snapshot) {
		if (snapshot.offset() <= this.offset || snapshot.baseOffset() > this.offset) {
			return this;
		}
		Map<String, Entry> nextEntries = new HashMap<>(this.entries);
		snapshot.entries().forEach((entry) -> nextEntries.put(entry.change().subject().value(), entry));
		Map<String, Long> nextIds = new LinkedHashMap<>(this.appliedIds);
		nextIds.putAll(snapshot.appliedIds());
		removeOldest(nextIds);
		return new Configuration(snapshot.offset(), nextEntries, nextIds, indexByKeyHash(nextEntries));
	}

	private static void removeOldest(Map<String, Long> ids) {
		while (ids.size() > MAX_APPLIED_IDS) {
			ids.remove(ids.keySet().iterator().next());
		}
	}

	@Override
	public String toString() {
		return "Configuration[offset=" + this.offset + ", digest=" + Long.toHexString(this.digest) + "]";
	}

	/**
	 * The last change of one subject.
	 *
	 * @param offset the offset of the change
	 * @param change the change
	 */
	public record Entry(long offset, Change change) {
	}

	/**
	 * The content of a configuration, or what has changed in it since an offset.
	 *
	 * @param baseOffset the offset that the reader must have,
	 * {@link Publication#NO_OFFSET} for the complete content
	 * @param offset the highest offset covered
	 * @param entries the last change of each subject that has changed after the base
	 * offset
	 * @param appliedIds the ids of recent publications after the base offset, with their
	 * offsets
	 */
	public record Snapshot(long baseOffset, long offset, List<Entry> entries, Map<String, Long> appliedIds) {

		/**
		 * Returns whether the snapshot can be applied without an earlier version.
		 * @return true if it covers the complete content
		 */
		@JsonIgnore
		public boolean isWhole() {
			return this.baseOffset == Publication.NO_OFFSET;
		}

	}

}
