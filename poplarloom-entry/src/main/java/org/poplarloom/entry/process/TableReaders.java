package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.MembershipTable;
import org.poplarloom.core.process.RendezvousHashing;
import org.poplarloom.core.process.ShardId;
import org.poplarloom.core.process.TablePosition;
import org.poplarloom.entry.Settings;

/**
 * Decides whether this instance reads the platform's tables or fetches the records from
 * the readers of its zone.
 * <p>
 * The members of a zone have an order, in which homes are first and members that cannot
 * read the store are last. The first ones read. An instance whose copies no member before
 * it has confirmed for some time reads too, so the age of a copy is bounded whatever
 * other members do, and although two instances with different views may choose different
 * readers. Only ages of the sender's own reads count: an age that is passed on loses the
 * time that each message takes, so members that confirm each other would never find out
 * that none of them reads. This class is thread-safe.
 */
final class TableReaders {

	/**
	 * How old a copy may become before the first instance that does not read reads it, in
	 * milliseconds. A change must be in force 2 s after the store has accepted it.
	 */
	static final long MAX_AGE_MILLIS = 1_800;

	/** Leaves each instance time to confirm the copies of those after it. */
	static final long AGE_MILLIS_PER_RANK = 100;

	/**
	 * The last instance of a large zone may be cut off from its readers alone; a change
	 * must be in force after 3 s.
	 */
	static final long MAX_RANK_MILLIS = 900;

	private static final String ORDER_KEY = "table-readers";

	private final Settings.TableReaders settings;

	private final int shardsPerZone;

	private final MembershipTable membership;

	private final Map<InstanceId, Report> reports = new HashMap<>();

	private boolean readsByAge;

	/**
	 * Creates a decider without reports.
	 * @param settings how many members read
	 * @param shardsPerZone the number of shards of a zone
	 * @param membership the members of the zone
	 */
	TableReaders(Settings.TableReaders settings, int shardsPerZone, MembershipTable membership) {
		this.settings = settings;
		this.shardsPerZone = shardsPerZone;
		this.membership = membership;
	}

	/**
	 * Returns whether the settings call for readers.
	 * @return false if every instance reads
	 */
	boolean isOn() {
		return this.settings.perZone() > 0;
	}

	/**
	 * Records what a member has said of its copies.
	 * @param member the member
	 * @param canRead whether it can read the store
	 * @param operators its copy of the operators' table, by its own reads
	 * @param endpoints its copy of the endpoints' table, by its own reads
	 * @param own the positions of this instance's copies
	 */
	synchronized void report(InstanceId member, boolean canRead, Confirmation operators, Confirmation endpoints,
			Positions own) {
		Report report = this.reports.computeIfAbsent(member, (id) -> new Report());
		report.confirm(own);
		report.canRead = canRead;
		report.operators = operators;
		report.endpoints = endpoints;
		report.confirm(own);
	}

	/**
	 * Decides whether this instance reads now.
	 * @param self the state of this instance
	 * @param nowMillis the local time in milliseconds
	 * @return the decision
	 */
	synchronized Decision decide(Self self, long nowMillis) {
		if (!isOn()) {
			return new Decision(Role.INDEPENDENT, "setting", 0, Confirmed.NEVER);
		}
		AvailabilityZone zone = this.membership.self().zone();
		List<Member> live = this.membership.live(zone, nowMillis);
		List<InstanceId> order = order(live, self, nowMillis);
		this.reports.keySet().retainAll(order);
		this.reports.values().forEach((report) -> report.confirm(self.positions()));
		int index = order.indexOf(this.membership.self().id());
		Confirmed confirmed = confirmedBy((index >= 0) ? order.subList(0, index) : order);
		// Members do not confirm copies of one that drains, so it is among the first to
		// read.
		int rank = (index >= 0) ? index : this.settings.perZone();
		if (live.size() < this.settings.minInstances()) {
			this.readsByAge = false;
			return new Decision(Role.INDEPENDENT, "few_members", rank, confirmed);
		}
		long maxAgeMillis = MAX_AGE_MILLIS
				+ Math.min(MAX_RANK_MILLIS, AGE_MILLIS_PER_RANK * (rank - this.settings.perZone()));
		long ageMillis = confirmed.ageMillis(nowMillis);
		this.readsByAge = (this.readsByAge ? ageMillis : Math.min(ageMillis, self.readAgeMillis())) > maxAgeMillis;
		return decide(self.isHome(), rank, confirmed);
	}

	private Decision decide(boolean isHome, int rank, Confirmed confirmed) {
		if (isHome) {
			return new Decision(Role.READER, "home", rank, confirmed);
		}
		if (rank == 0) {
			return new Decision(Role.READER, "rank", rank, confirmed);
		}
		if (this.readsByAge) {
			return new Decision(Role.READER, "age", rank, confirmed);
		}
		return (rank < this.settings.perZone()) ? new Decision(Role.STANDBY, "rank", rank, confirmed)
				: new Decision(Role.LEARNER, "confirmed", rank, confirmed);
	}

	private List<InstanceId> order(List<Member> live, Self self, long nowMillis) {
		AvailabilityZone zone = this.membership.self().zone();
		Set<InstanceId> order = new LinkedHashSet<>();
		List<InstanceId> ids = live.stream().map(Member::id).toList();
		for (int index = 0; index < this.shardsPerZone; index++) {
			this.membership.home(new ShardId(zone, index), nowMillis)
				.map(Member::id)
				.filter(ids::contains)
				.ifPresent(order::add);
		}
		order.addAll(RendezvousHashing.order(ORDER_KEY, ids));
		List<InstanceId> able = new ArrayList<>();
		List<InstanceId> unable = new ArrayList<>();
		order.forEach((id) -> (canRead(id, self) ? able : unable).add(id));
		able.addAll(unable);
		return able;
	}

	private boolean canRead(InstanceId id, Self self) {
		if (id.equals(this.membership.self().id())) {
			return self.canRead();
		}
		Report report = this.reports.get(id);
		return report == null || report.canRead;
	}

	private Confirmed confirmedBy(List<InstanceId> members) {
		Confirmed latest = Confirmed.NEVER;
		for (InstanceId member : members) {
			Report report = this.reports.get(member);
			if (report != null) {
				latest = latest.max(report.confirmed);
			}
		}
		return latest;
	}

	/**
	 * How an instance keeps its copies up to date.
	 */
	enum Role {

		/** Reads as if there were no readers. */
		INDEPENDENT,

		/** Reads often enough to bound the age of the zone's copies. */
		READER,

		/**
		 * Waits for records of the operators' table like a reader and reads the others
		 * seldom.
		 */
		STANDBY,

		/** Fetches from readers. */
		LEARNER

	}

	/**
	 * What this instance is to do.
	 *
	 * @param role how it keeps its copies up to date
	 * @param reason why, for the log
	 * @param rank the place in the order of readers, from 0
	 * @param confirmed when members before it have confirmed its copies
	 */
	record Decision(Role role, String reason, int rank, Confirmed confirmed) {
	}

	/**
	 * The state of this instance.
	 *
	 * @param isHome whether it is the home of a shard
	 * @param canRead whether its last reads of the store succeeded
	 * @param readAgeMillis how long ago its own reads have confirmed its copies, in
	 * milliseconds
	 * @param positions the positions of its copies
	 */
	record Self(boolean isHome, boolean canRead, long readAgeMillis, Positions positions) {
	}

	/**
	 * Positions after the last records of copies.
	 *
	 * @param operators the position in the operators' table
	 * @param endpoints the position in the endpoints' table
	 */
	record Positions(TablePosition operators, TablePosition endpoints) {
	}

	/**
	 * A statement of a reader that a table had no records from a position on.
	 *
	 * @param position the position
	 * @param millis when that was so, by the local clock in milliseconds
	 */
	record Confirmation(TablePosition position, long millis) {
	}

	/**
	 * When this instance's copies were known to be complete, by the local clock in
	 * milliseconds.
	 *
	 * @param operatorsMillis the time for the operators' table
	 * @param endpointsMillis the time for the endpoints' table
	 */
	record Confirmed(long operatorsMillis, long endpointsMillis) {

		/** No copy was confirmed. */
		static final Confirmed NEVER = new Confirmed(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

		private Confirmed max(Confirmed other) {
			return new Confirmed(Math.max(this.operatorsMillis, other.operatorsMillis),
					Math.max(this.endpointsMillis, other.endpointsMillis));
		}

		private long ageMillis(long nowMillis) {
			return nowMillis - Math.min(this.operatorsMillis, this.endpointsMillis);
		}

	}

	/**
	 * What a member has said, and which of it holds for this instance's copies: a
	 * statement holds once the copy has reached its position.
	 */
	private static final class Report {

		private boolean canRead = true;

		private Confirmation operators;

		private Confirmation endpoints;

		private Confirmed confirmed = Confirmed.NEVER;

		private void confirm(Positions own) {
			this.confirmed = this.confirmed.max(new Confirmed(confirmedMillis(this.operators, own.operators()),
					confirmedMillis(this.endpoints, own.endpoints())));
		}

		private static long confirmedMillis(Confirmation confirmation, TablePosition own) {
			boolean holds = confirmation != null && !confirmation.position().isAfter(own);
			return holds ? confirmation.millis() : Confirmed.NEVER.operatorsMillis();
		}

	}

}
