package org.poplarloom.entry.process;

import java.time.Duration;
import java.util.List;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.poplarloom.core.version.ZoneOrder;
import org.poplarloom.wire.message.Message;

/**
 * Asks all live instances which configuration is in force.
 * <p>
 * This class is thread-safe.
 */
public final class ClusterStatus {

	private static final Duration TIMEOUT = Duration.ofMillis(1_000);

	private final Node node;

	public ClusterStatus(Node node) {
		this.node = node;
	}

	/**
	 * Asks all live instances.
	 * @param publicationId a publication to ask about, empty for none
	 * @return one line per instance in ascending order; an instance that does not answer
	 * has the offset {@link InstanceLine#NO_ANSWER}
	 */
	public Mono<List<InstanceLine>> instances(String publicationId) {
		return Flux.fromIterable(this.node.instances().all())
			.flatMapSequential((instance) -> ask(instance, publicationId))
			.collectList();
	}

	private Mono<InstanceLine> ask(InstanceView.Instance member, String publicationId) {
		return Mono
			.fromFuture(() -> this.node.request(member.id(), member.address(), new Message.VersionAsk(publicationId),
					TIMEOUT.toMillis()))
			.map((reply) -> line(member, reply))
			.onErrorReturn(
					new InstanceLine(member.id().value(), member.zone().value(), InstanceLine.NO_ANSWER, "", false, 0));
	}

	private static InstanceLine line(InstanceView.Instance member, Message reply) {
		Message.VersionGiven version = (Message.VersionGiven) reply;
		return new InstanceLine(member.id().value(), member.zone().value(), version.offset(),
				Long.toHexString(version.digest()), version.isInForce(), version.grants());
	}

	/**
	 * Returns the zone orders that the log does not hold yet.
	 * @return the orders known here
	 */
	public List<ZoneOrder> unconfirmedOrders() {
		return this.node.keeper().state().unconfirmedOrders();
	}

	/**
	 * What one instance has in force.
	 *
	 * @param instance the instance
	 * @param zone its zone
	 * @param offset the configuration's offset
	 * @param digest the configuration's digest in hexadecimal
	 * @param isInForce whether the publication that was asked about is in force
	 * @param grants the number of requests in progress
	 */
	public record InstanceLine(String instance, String zone, long offset, String digest, boolean isInForce,
			int grants) {

		/** The offset shown for an instance that does not answer. */
		public static final long NO_ANSWER = -9;

	}

}
