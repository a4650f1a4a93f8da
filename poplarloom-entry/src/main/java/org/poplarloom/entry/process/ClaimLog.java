package org.poplarloom.entry.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.zip.CRC32;

import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

import org.poplarloom.core.IdempotencyKey;
import org.poplarloom.core.process.ClaimRecord;
import org.poplarloom.core.process.ClaimReplay;
import org.poplarloom.core.version.Documents;
import org.poplarloom.port.LogPort;

/**
 * Appends claims to the log and reads back which claim holds each key.
 * <p>
 * All claims of a key are on one stream, which follows from the key alone. Records that
 * arrive while an append to their stream is in progress are batched into the next append.
 * This class is thread-safe; one lock guards its tables and is not held during input or
 * output.
 */
public final class ClaimLog {

	private static final long STREAM_PERIOD_MILLIS = 60_000;

	private static final int STREAMS_PER_PERIOD = 256;

	private static final int MAX_CACHED_STREAMS = 512;

	private static final int APPEND_ATTEMPTS = 3;

	private static final Duration APPEND_RETRY_DELAY = Duration.ofMillis(100);

	private static final Duration BACKGROUND_RETRY_DELAY = Duration.ofSeconds(1);

	private static final int BACKGROUND_RETRIES = 600;

	private final LogPort log;

	private final Map<String, ClaimReplay> replays = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, ClaimReplay> eldest) {
			return size() > MAX_CACHED_STREAMS;
		}

	};

	private final Map<String, Batch> nextBatches = new HashMap<>();

	public ClaimLog(LogPort log) {
		this.log = log;
	}

	/**
	 * Returns the stream that holds all claims of a key.
	 * @param key the key
	 * @return the name of the stream
	 */
	public static String stream(IdempotencyKey key) {
		CRC32 hash = new CRC32();
		hash.update(key.toString().getBytes(StandardCharsets.UTF_8));
		return "claims-" + key.creationMillis() / STREAM_PERIOD_MILLIS + "-" + hash.getValue() % STREAMS_PER_PERIOD;
	}

	/**
	 * Appends a claim and reads back which claim holds its key.
	 * @param stream the stream of the key
	 * @param claim the claim
	 * @return the state of the key after the claim, or an error with code
	 * {@code log_unavailable}; after an error the claim may still appear on the log later
	 */
	public Mono<ClaimReplay.State> claim(String stream, ClaimRecord claim) {
		return append(stream, claim).retryWhen(Retry.fixedDelay(APPEND_ATTEMPTS - 1L, APPEND_RETRY_DELAY))
			.onErrorMap((failure) -> (failure.getCause() != null) ? failure.getCause() : failure)
			.flatMap((offset) -> readUpTo(stream, offset))
			.map((isRead) -> state(stream, claim.key()).orElseThrow());
	}

	/**
	 * Appends a record and retries until the log has confirmed it.
	 * @param stream the stream of the key
	 * @param claim an outcome or a release
	 * @return completes when the record is on the log, or fails after 600 retries, one a
	 * second
	 */
	public Mono<Void> appendUntilConfirmed(String stream, ClaimRecord claim) {
		return append(stream, claim).retryWhen(Retry.fixedDelay(BACKGROUND_RETRIES, BACKGROUND_RETRY_DELAY)).then();
	}

	/**
	 * Returns the state of a key as far as this instance has read its stream.
	 * @param stream the stream of the key
	 * @param key the team, the service and the idempotency key
	 * @return the state, or empty if no claim is known to hold the key
	 */
	public synchronized Optional<ClaimReplay.State> state(String stream, String key) {
		ClaimReplay replay = this.replays.get(stream);
		return Optional.ofNullable((replay != null) ? replay.state(key) : null);
	}

	private Mono<Long> append(String stream, ClaimRecord claim) {
		return Mono.defer(() -> {
			Batch batch;
			int index;
			synchronized (this) {
				batch = this.nextBatches.computeIfAbsent(stream, (key) -> new Batch());
				index = batch.add(claim);
			}
			if (batch.mustFlush(index)) {
				flush(stream);
			}
			return Mono.fromFuture(batch.firstOffset, true).map((firstOffset) -> firstOffset + index);
		});
	}

	private void flush(String stream) {
		Batch batch;
		synchronized (this) {
			batch = this.nextBatches.get(stream);
			this.nextBatches.put(stream, new Batch(batch));
		}
		Mono.from(this.log.append(stream, batch.records.stream().map(Documents::write).toList()))
			.doFinally((signal) -> flushNext(stream))
			.subscribe(batch.firstOffset::complete, batch.firstOffset::completeExceptionally);
	}

	private void flushNext(String stream) {
		synchronized (this) {
			Batch next = this.nextBatches.get(stream);
			if (next.records.isEmpty()) {
				this.nextBatches.remove(stream);
				return;
			}
		}
		flush(stream);
	}

	private Mono<Boolean> readUpTo(String stream, long offset) {
		return Mono.defer(() -> Mono.from(this.log.read(stream, nextOffset(stream), 0)))
			.doOnNext((page) -> apply(stream, page))
			.flatMap((page) -> (nextOffset(stream) > offset) ? Mono.just(true) : Mono.empty())
			.repeatWhenEmpty((repeats) -> repeats);
	}

	private synchronized long nextOffset(String stream) {
		return this.replays.computeIfAbsent(stream, (key) -> new ClaimReplay()).nextOffset();
	}

	private synchronized void apply(String stream, LogPort.Page page) {
		ClaimReplay replay = this.replays.computeIfAbsent(stream, (key) -> new ClaimReplay());
		for (LogPort.Entry entry : page.records()) {
			replay.apply(entry.offset(), Documents.read(entry.value(), ClaimRecord.class));
		}
	}

	/**
	 * Records that are sent in one append.
	 */
	private static final class Batch {

		private final List<ClaimRecord> records = new ArrayList<>();

		private final CompletableFuture<Long> firstOffset = new CompletableFuture<>();

		private final boolean isAppendInProgress;

		Batch() {
			this.isAppendInProgress = false;
		}

		Batch(Batch previous) {
			this.isAppendInProgress = previous != null;
		}

		int add(ClaimRecord claim) {
			this.records.add(claim);
			return this.records.size() - 1;
		}

		boolean mustFlush(int index) {
			return index == 0 && !this.isAppendInProgress;
		}

	}

}
