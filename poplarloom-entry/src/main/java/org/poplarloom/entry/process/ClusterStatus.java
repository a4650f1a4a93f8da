package org.poplarloom.entry.process;

import java.time.Duration;
import java.util.List;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.poplarloom.core.version.ZoneCommand;
import org.poplarloom.wire.message.Message;

/**
 * Queries all live instances for the configuration that is in force there.
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
	 * Queries all live instances.
	 * @param publicationId the publication to check for being in force, empty for none
	 * @return one line per instance, those of the local zone first; an instance that does
	 * not answer has the offset {@link InstanceLine#NO_ANSWER}
	 */
	public Mono<List<InstanceLine>> instances(String publicationId) {
		return Flux.fromIterable(this.node.instances().all())
			.flatMapSequential((instance) -> query(instance, publicationId))
			.collectList();
	}

	private Mono<InstanceLine> query(InstanceView.Instance instance, String publicationId) {
		return Mono
			.fromFuture(() -> this.node.request(instance.id(), instance.address(),
					new Message.VersionQuery(publicationId), TIMEOUT.toMillis()))
			.map((reply) -> toLine(instance, reply))
			.onErrorReturn(new InstanceLine(instance.id().value(), instance.zone().value(), InstanceLine.NO_ANSWER, "",
					false, 0));
	}

	private static InstanceLine toLine(InstanceView.Instance instance, Message reply) {
		Message.VersionReply version = (Message.VersionReply) reply;
		return new InstanceLine(instance.id().value(), instance.zone().value(), version.offset(),
				Long.toHexString(version.digest()), version.isInForce(), version.grants());
	}

	/**
	 * Returns the commands about zones that are not on the log yet.
	 * @return the commands that this instance knows
	 */
	public List<ZoneCommand> unconfirmedZoneCommands() {
		return this.node.activeConfiguration().state().unconfirmedZoneCommands();
	}

	/**
	 * What one instance has in force.
	 *
	 * @param instance the instance
	 * @param zone its zone
	 * @param offset the configuration's offset
	 * @param digest the configuration's digest in hexadecimal
	 * @param isInForce whether the publication of the query is in force
	 * @param grants the number of grants that it holds
	 */
	public record InstanceLine(String instance, String zone, long offset, String digest, boolean isInForce,
			int grants) {

		/** The offset shown for an instance that does not answer. */
		public static final long NO_ANSWER = -9;

	}

}
