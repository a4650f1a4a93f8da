package org.poplarloom.entry.process;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.InstanceId;
import org.poplarloom.entry.process.TableReaders.Confirmation;
import org.poplarloom.entry.process.TableReaders.Decision;
import org.poplarloom.entry.process.TableReaders.Positions;
import org.poplarloom.entry.process.TableReaders.Role;
import org.poplarloom.entry.process.TableReaders.Self;
import org.poplarloom.wire.message.Message;

/**
 * Applies the decision whether this instance reads the platform's tables to the followers
 * of the tables, and exchanges the state that the decision depends on in heartbeats.
 * <p>
 * This class is thread-safe; the decision is made on the scheduler's thread.
 */
final class TableReading {

	private static final Logger logger = LoggerFactory.getLogger(TableReading.class);

	/** An age that exceeds its bound is noticed after this time. */
	private static final long DECISION_PERIOD_MILLIS = 100;

	/** The store usually answers within this time. */
	private static final long CONFIRMATION_PERIOD_MILLIS = 20;

	private final TableReaders readers;

	private final Node node;

	private final ScheduledExecutorService scheduler;

	private final TableTimings timings;

	private TableFollower operators;

	private TableFollower endpoints;

	private volatile TableFollower instances;

	private volatile Role role = Role.INDEPENDENT;

	private boolean couldRead = true;

	/** Whether members are to be told at once when the next reads have succeeded. */
	private boolean confirmationDue;

	/**
	 * Creates the state of an instance that reads.
	 * @param node the started node
	 * @param entries the listed instances
	 * @param scheduler runs the decisions, on one thread
	 */
	TableReading(Node node, PublishedEntries entries, ScheduledExecutorService scheduler) {
		this.node = node;
		this.scheduler = scheduler;
		this.readers = new TableReaders(node.settings().tableReaders(), node.settings().shardsPerZone(),
				node.membership());
		this.timings = new TableTimings(() -> this.role, () -> !node.localHomes().isEmpty(), entries::instanceCount);
	}

	/**
	 * Returns when the tables are read.
	 * @return the timings, which change with the role
	 */
	TableTimings timings() {
		return this.timings;
	}

	/**
	 * Starts to decide periodically, if the settings call for readers.
	 * @param operatorTable the follower of the operators' table
	 * @param endpointTable the follower of the endpoints' table
	 */
	void start(TableFollower operatorTable, TableFollower endpointTable) {
		this.operators = operatorTable;
		this.endpoints = endpointTable;
		if (this.readers.isOn()) {
			this.node.runPeriodically(DECISION_PERIOD_MILLIS, () -> this.scheduler.execute(this::decide));
		}
	}

	/**
	 * Includes the table of instances, which is read later than the others.
	 * @param instanceTable the follower of the table of instances
	 */
	void include(TableFollower instanceTable) {
		this.instances = instanceTable;
	}

	private void decide() {
		boolean canRead = canRead();
		Self self = new Self(!this.node.localHomes().isEmpty(), canRead,
				Math.max(this.operators.readAgeMillis(), this.endpoints.readAgeMillis()), positions());
		Decision decision = this.readers.decide(self, this.node.clock().nowMillis());
		this.operators.confirm(decision.confirmed().operatorsMillis());
		this.endpoints.confirm(decision.confirmed().endpointsMillis());
		Role before = this.role;
		this.role = decision.role();
		if (decision.role() != before) {
			logger.info("event={} role={} before={} reason={} rank={} age_ms={}",
					(decision.role() == Role.LEARNER) ? "reads_stopped" : "reads_tables", name(decision.role()),
					name(before), decision.reason(), decision.rank(), ageMillis());
			followers().forEach(TableFollower::followTiming);
			this.confirmationDue = decision.role() == Role.READER;
		}
		if (canRead != this.couldRead) {
			this.couldRead = canRead;
			tellZone();
		}
		confirmSoon();
	}

	// Members after this one would start to read before the next heartbeat tells them
	// that it has taken over.
	private void confirmSoon() {
		if (!this.confirmationDue || this.role != Role.READER) {
			return;
		}
		if (Math.max(this.operators.readAgeMillis(), this.endpoints.readAgeMillis()) < DECISION_PERIOD_MILLIS) {
			this.confirmationDue = false;
			tellZone();
		}
		else if (!this.scheduler.isShutdown()) {
			this.scheduler.schedule(this::confirmSoon, CONFIRMATION_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void tellZone() {
		if (this.role != Role.INDEPENDENT) {
			this.node.gossiper().sendHeartbeats();
		}
	}

	private static String name(Role role) {
		return role.name().toLowerCase(Locale.ROOT);
	}

	private List<TableFollower> followers() {
		TableFollower instanceTable = this.instances;
		return (instanceTable != null) ? List.of(this.operators, this.endpoints, instanceTable)
				: List.of(this.operators, this.endpoints);
	}

	private boolean canRead() {
		return !this.operators.isPlatformUnavailable() && !this.endpoints.isPlatformUnavailable();
	}

	private Positions positions() {
		return new Positions(this.operators.next(), this.endpoints.next());
	}

	/**
	 * Returns what heartbeats say of this instance's copies.
	 * @return the state, null if the settings call for no readers
	 */
	Message.TableCopies copies() {
		TableFollower instanceTable = this.instances;
		return this.readers.isOn() ? new Message.TableCopies(canRead(), this.operators.readAgeMillis(),
				this.endpoints.readAgeMillis(), (instanceTable != null) ? instanceTable.next() : null) : null;
	}

	/**
	 * Records what a member's heartbeat says of its copies.
	 * @param member the member
	 * @param address its host and port for peers
	 * @param heartbeat the heartbeat
	 */
	void receive(InstanceId member, String address, Message.Heartbeat heartbeat) {
		Message.TableCopies copies = heartbeat.copies();
		if (copies == null || !this.readers.isOn()) {
			return;
		}
		long now = this.node.clock().nowMillis();
		this.readers.report(member, copies.canReadStore(),
				new Confirmation(heartbeat.operatorTable(), now - copies.operatorAgeMillis()),
				new Confirmation(heartbeat.endpointTable(), now - copies.endpointAgeMillis()), positions());
		TableFollower instanceTable = this.instances;
		if (instanceTable != null && this.role != Role.INDEPENDENT) {
			instanceTable.handlePeerPosition(address, copies.instanceTable());
		}
	}

	/**
	 * Returns whether this instance bounds the age of its zone's copies.
	 * @return true if it is to send heartbeats often
	 */
	boolean isReader() {
		return this.role == Role.READER;
	}

	/**
	 * Returns whether all members of the zone are to be notified of what this instance
	 * reads.
	 * @return true if others rely on its reads
	 */
	boolean notifiesZone() {
		return this.role == Role.READER || this.role == Role.STANDBY;
	}

	/**
	 * Returns whether this instance reads the tables.
	 * @return false if it fetches from readers
	 */
	boolean isReading() {
		return this.role != Role.LEARNER;
	}

	/**
	 * Returns how long ago the copies of operators and endpoints were last confirmed, by
	 * own reads or by members.
	 * @return the age of the older copy in milliseconds, 0 or more
	 */
	long ageMillis() {
		return Math.max(this.operators.ageMillis(), this.endpoints.ageMillis());
	}

}
