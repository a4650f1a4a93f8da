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
import org.poplarloom.core.process.ClaimFold;
import org.poplarloom.core.process.ClaimRecord;
import org.poplarloom.core.version.Documents;
import org.poplarloom.port.LogPort;

/**
 * Appends claims to the log and reads back who holds each key.
 * <p>
 * All claims of a key are on one stream, which follows from the key alone. Records that
 * wait while an append is under way go out together in the next one. This class is
 * thread-safe; one lock guards its tables and is not held during input or output.
 */
public final class ClaimLog {

	private static final long SLICE_MILLIS = 60_000;

	private static final int BUCKETS = 256;

	private static final int CACHED_STREAMS = 512;

	private static final int APPEND_TRIES = 3;

	private static final Duration APPEND_RETRY_DELAY = Duration.ofMillis(100);

	private static final Duration BACKGROUND_RETRY_DELAY = Duration.ofSeconds(1);

	private static final int BACKGROUND_TRIES = 600;

	private final LogPort log;

	private final Map<String, ClaimFold> folds = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, ClaimFold> eldest) {
			return size() > CACHED_STREAMS;
		}

	};

	private final Map<String, Batch> waiting = new HashMap<>();

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
		return "claims-" + key.creationMillis() / SLICE_MILLIS + "-" + hash.getValue() % BUCKETS;
	}

	/**
	 * Appends a claim and reads back what holds its key.
	 * @param stream the stream of the key
	 * @param claim the claim
	 * @return the state of the key after the claim, or an error with code
	 * {@code log_unavailable}; then the claim may still appear later
	 */
	public Mono<ClaimFold.State> claim(String stream, ClaimRecord claim) {
		return append(stream, claim).retryWhen(Retry.fixedDelay(APPEND_TRIES - 1L, APPEND_RETRY_DELAY))
			.onErrorMap((failure) -> (failure.getCause() != null) ? failure.getCause() : failure)
			.flatMap((offset) -> readUpTo(stream, offset))
			.map((done) -> state(stream, claim.key()).orElseThrow());
	}

	/**
	 * Appends a record until it is on the log.
	 * @param stream the stream of the key
	 * @param claim an outcome or a release
	 * @return completes when the record is on the log
	 */
	public Mono<Void> settle(String stream, ClaimRecord claim) {
		return append(stream, claim).retryWhen(Retry.fixedDelay(BACKGROUND_TRIES, BACKGROUND_RETRY_DELAY)).then();
	}

	/**
	 * Returns what this instance has read of a key.
	 * @param stream the stream of the key
	 * @param key the team and the idempotency key
	 * @return the state, or empty if nothing holds the key as far as was read
	 */
	public synchronized Optional<ClaimFold.State> state(String stream, String key) {
		ClaimFold fold = this.folds.get(stream);
		return Optional.ofNullable((fold != null) ? fold.state(key) : null);
	}

	private Mono<Long> append(String stream, ClaimRecord claim) {
		return Mono.defer(() -> {
			Batch batch;
			int index;
			synchronized (this) {
				batch = this.waiting.computeIfAbsent(stream, (key) -> new Batch());
				index = batch.add(claim);
			}
			if (batch.isReady(index)) {
				flush(stream);
			}
			return Mono.fromFuture(batch.offset, true).map((first) -> first + index);
		});
	}

	private void flush(String stream) {
		Batch batch;
		synchronized (this) {
			batch = this.waiting.get(stream);
			this.waiting.put(stream, new Batch(batch));
		}
		Mono.from(this.log.append(stream, batch.records.stream().map(Documents::write).toList()))
			.doFinally((signal) -> flushNext(stream))
			.subscribe(batch.offset::complete, batch.offset::completeExceptionally);
	}

	private void flushNext(String stream) {
		synchronized (this) {
			Batch next = this.waiting.get(stream);
			if (next.records.isEmpty()) {
				this.waiting.remove(stream);
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
		return this.folds.computeIfAbsent(stream, (key) -> new ClaimFold()).nextOffset();
	}

	private synchronized void apply(String stream, LogPort.Page page) {
		ClaimFold fold = this.folds.computeIfAbsent(stream, (key) -> new ClaimFold());
		for (LogPort.Entry entry : page.records()) {
			fold.apply(entry.offset(), Documents.read(entry.value(), ClaimRecord.class));
		}
	}

	/**
	 * Records that go out in one append.
	 */
	private static final class Batch {

		private final List<ClaimRecord> records = new ArrayList<>();

		private final CompletableFuture<Long> offset = new CompletableFuture<>();

		private final boolean followsAnother;

		Batch() {
			this.followsAnother = false;
		}

		Batch(Batch previous) {
			this.followsAnother = previous != null;
		}

		int add(ClaimRecord claim) {
			this.records.add(claim);
			return this.records.size() - 1;
		}

		boolean isReady(int index) {
			return index == 0 && !this.followsAnother;
		}

	}

}
