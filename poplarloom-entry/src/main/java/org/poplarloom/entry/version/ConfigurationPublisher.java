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
import org.poplarloom.core.version.ZoneCommand;
import org.poplarloom.entry.version.ConfigurationStream.StreamRecord;
import org.poplarloom.port.LogPort;

/**
 * Publishes changes of the configuration on the log.
 * <p>
 * A change is accepted only when it was read back from the log and found applied. If the
 * result of an append is lost, the publisher checks whether the change was applied and,
 * if not, appends it again under the same id. This class is thread-safe.
 */
public final class ConfigurationPublisher {

	private static final Duration READ_BACK_INTERVAL = Duration.ofMillis(10);

	private static final Duration READ_BACK_TIMEOUT = Duration.ofMillis(1_500);

	/**
	 * How long a zone command waits for the log; after that, it is passed on by gossip
	 * between the instances.
	 */
	private static final Duration ZONE_COMMAND_TIMEOUT = Duration.ofMillis(700);

	private static final int MAX_APPENDS = 3;

	private final LogPort log;

	private final ActiveConfiguration activeConfiguration;

	public ConfigurationPublisher(LogPort log, ActiveConfiguration activeConfiguration) {
		this.log = log;
		this.activeConfiguration = activeConfiguration;
	}

	/**
	 * Publishes a change.
	 * @param publication the change
	 * @return the offset at which it was applied, or an error with code
	 * {@code version_conflict} or {@code log_unavailable}
	 */
	public Mono<Long> publish(Publication publication) {
		return Mono.defer(() -> appendAndReadBack(publication))
			.retryWhen(Retry.max(MAX_APPENDS - 1).filter(ConfigurationPublisher::isUnavailable))
			.onErrorMap((failure) -> (failure.getCause() instanceof PoplarloomException cause) ? cause : failure);
	}

	private static boolean isUnavailable(Throwable failure) {
		return failure instanceof PoplarloomException known && known.code() == ErrorCode.LOG_UNAVAILABLE;
	}

	private Mono<Long> appendAndReadBack(Publication publication) {
		List<String> records = StreamRecord.of(publication).stream().map(Documents::write).toList();
		return Mono.from(this.log.append(ConfigurationStream.NAME, records))
			.flatMap((offset) -> readBack(publication, offset))
			.onErrorResume(ConfigurationPublisher::isUnavailable, (failure) -> resolveAppend(publication, failure));
	}

	private Mono<Long> readBack(Publication publication, long offset) {
		return Mono.defer(() -> checkApplied(publication, offset))
			.repeatWhenEmpty((repeats) -> repeats.delayElements(READ_BACK_INTERVAL))
			.timeout(READ_BACK_TIMEOUT,
					Mono.error(new PoplarloomException(ErrorCode.LOG_UNAVAILABLE, Executed.UNKNOWN,
							"the change was appended at offset " + offset + " but not read back within "
									+ READ_BACK_TIMEOUT.toMillis() + " ms")));
	}

	private Mono<Long> checkApplied(Publication publication, long offset) {
		if (this.activeConfiguration.configuration().hasApplied(publication.id())) {
			return Mono.just(offset);
		}
		if (this.activeConfiguration.configuration().offset() < offset) {
			return Mono.empty();
		}
		long actual = this.activeConfiguration.configuration().offsetOf(publication.change().subject());
		return Mono.error(new PoplarloomException(ErrorCode.VERSION_CONFLICT,
				publication.change().subject() + " was changed at version " + actual + ", but version "
						+ publication.expectedOffset() + " was expected"));
	}

	private Mono<Long> resolveAppend(Publication publication, Throwable failure) {
		boolean isApplied = this.activeConfiguration.configuration().hasApplied(publication.id());
		return isApplied ? Mono.just(this.activeConfiguration.configuration().offset()) : Mono.error(failure);
	}

	/**
	 * Takes a zone out or in, even while the log cannot be reached.
	 * @param id the identity of the publish call
	 * @param operator the operator who gave the command
	 * @param change the command
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the offset of the command and whether it is on the log
	 */
	public Mono<ZoneCommandResult> setZone(String id, String operator, Change.SetZone change, long nowMillis) {
		Publication publication = new Publication(id, Publication.ANY_OFFSET, operator, change);
		return appendAndReadBack(publication)
			.timeout(ZONE_COMMAND_TIMEOUT,
					Mono.error(new PoplarloomException(ErrorCode.LOG_UNAVAILABLE, Executed.UNKNOWN,
							"the log did not answer within " + ZONE_COMMAND_TIMEOUT.toMillis() + " ms")))
			.map((offset) -> new ZoneCommandResult(offset, true))
			.onErrorResume(ConfigurationPublisher::isUnavailable, (failure) -> {
				long known = this.activeConfiguration.configuration().offset();
				this.activeConfiguration.applyZoneCommands(
						List.of(new ZoneCommand(id, known, nowMillis, operator, change.zone(), change.isOut())));
				return Mono.just(new ZoneCommandResult(known, false));
			});
	}

	/**
	 * Publishes a zone command that was accepted while the log could not be reached.
	 * @param command the command
	 * @return completes when the publication has succeeded or failed
	 */
	public Mono<Void> confirm(ZoneCommand command) {
		return publish(command.toPublication()).onErrorComplete().then();
	}

	/**
	 * The result of a zone command.
	 *
	 * @param offset the offset at which it was applied, or the last known one if it is
	 * not on the log
	 * @param isConfirmed whether the command is on the log
	 */
	public record ZoneCommandResult(long offset, boolean isConfirmed) {
	}

}
