package org.poplarloom.entry.version;

import java.time.Duration;
import java.util.List;

import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.version.Change;
import org.poplarloom.core.version.Documents;
import org.poplarloom.core.version.Publication;
import org.poplarloom.core.version.ZoneOrder;
import org.poplarloom.entry.version.ConfigurationStream.StreamRecord;
import org.poplarloom.port.LogPort;

/**
 * Publishes changes of the configuration on the log.
 * <p>
 * A change is accepted only when it was read back and found applied. A lost answer is
 * settled by reading on and, if need be, by appending again under the same id. This class
 * is thread-safe.
 */
public final class ConfigurationPublisher {

	private static final Duration POLL = Duration.ofMillis(10);

	private static final Duration READ_BACK = Duration.ofMillis(1_500);

	/** How long a zone order waits for the log before it goes straight to instances. */
	private static final Duration ORDER_PATIENCE = Duration.ofMillis(700);

	private static final int APPEND_TRIES = 3;

	private final LogPort log;

	private final ConfigurationKeeper keeper;

	public ConfigurationPublisher(LogPort log, ConfigurationKeeper keeper) {
		this.log = log;
		this.keeper = keeper;
	}

	/**
	 * Publishes a change.
	 * @param publication the change
	 * @return the offset at which it was applied, or an error with code
	 * {@code version_conflict} or {@code log_unavailable}
	 */
	public Mono<Long> publish(Publication publication) {
		return Mono.defer(() -> appendAndReadBack(publication))
			.retryWhen(Retry.max(APPEND_TRIES - 1).filter(ConfigurationPublisher::isUnavailable))
			.onErrorMap((failure) -> (failure.getCause() instanceof PoplarloomException cause) ? cause : failure);
	}

	private static boolean isUnavailable(Throwable failure) {
		return failure instanceof PoplarloomException known && known.code() == ErrorCode.LOG_UNAVAILABLE;
	}

	private Mono<Long> appendAndReadBack(Publication publication) {
		List<String> records = StreamRecord.of(publication).stream().map(Documents::write).toList();
		return Mono.from(this.log.append(ConfigurationStream.NAME, records))
			.flatMap((offset) -> readBack(publication, offset))
			.onErrorResume(ConfigurationPublisher::isUnavailable, (failure) -> settle(publication, failure));
	}

	private Mono<Long> readBack(Publication publication, long offset) {
		return Mono.defer(() -> decide(publication, offset))
			.repeatWhenEmpty((repeats) -> repeats.delayElements(POLL))
			.timeout(READ_BACK, Mono.error(new PoplarloomException(ErrorCode.LOG_UNAVAILABLE, Executed.UNKNOWN,
					"the change was appended but could not be read back")));
	}

	private Mono<Long> decide(Publication publication, long offset) {
		if (this.keeper.configuration().hasApplied(publication.id())) {
			return Mono.just(offset);
		}
		if (this.keeper.configuration().offset() < offset) {
			return Mono.empty();
		}
		long actual = this.keeper.configuration().offsetOf(publication.change().subject());
		return Mono.error(new PoplarloomException(ErrorCode.VERSION_CONFLICT,
				publication.change().subject() + " was changed at version " + actual + ", but version "
						+ publication.expectedOffset() + " was expected"));
	}

	private Mono<Long> settle(Publication publication, Throwable failure) {
		boolean isApplied = this.keeper.configuration().hasApplied(publication.id());
		return isApplied ? Mono.just(this.keeper.configuration().offset()) : Mono.error(failure);
	}

	/**
	 * Takes a zone out or brings it back, also while the log cannot be reached.
	 * @param id the identity of the publish call
	 * @param operator who gives the order
	 * @param change the order
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return whether the order is on the log and its offset
	 */
	public Mono<ZoneResult> order(String id, String operator, Change.SetZone change, long nowMillis) {
		Publication publication = new Publication(id, Publication.ANY_OFFSET, operator, change);
		return appendAndReadBack(publication)
			.timeout(ORDER_PATIENCE,
					Mono.error(new PoplarloomException(ErrorCode.LOG_UNAVAILABLE, Executed.UNKNOWN,
							"the log does not answer")))
			.map((offset) -> new ZoneResult(offset, true))
			.onErrorResume(ConfigurationPublisher::isUnavailable, (failure) -> {
				long known = this.keeper.configuration().offset();
				this.keeper
					.order(List.of(new ZoneOrder(id, known, nowMillis, operator, change.zone(), change.isOut())));
				return Mono.just(new ZoneResult(known, false));
			});
	}

	/**
	 * Appends an order that was given while the log could not be reached.
	 * @param order the order
	 * @return completes when the append was tried
	 */
	public Mono<Void> confirm(ZoneOrder order) {
		return publish(order.toPublication()).onErrorComplete().then();
	}

	/**
	 * What became of a zone order.
	 *
	 * @param offset the offset at which it was applied, or the last known one
	 * @param isConfirmed whether the order is on the log
	 */
	public record ZoneResult(long offset, boolean isConfirmed) {
	}

}
