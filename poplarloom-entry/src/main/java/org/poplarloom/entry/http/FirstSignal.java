package org.poplarloom.entry.http;

import java.time.Duration;

import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Waits a while for the first element of a stream, so that an early failure can still
 * choose the status of the response.
 * <p>
 * Cancelling the stream cancels its source. This class has no state and is thread-safe.
 */
final class FirstSignal {

	private FirstSignal() {
	}

	/**
	 * Subscribes to a stream and waits for its first signal.
	 * @param <T> the type of the elements
	 * @param source the stream, subscribed to at once
	 * @param patience how long to wait
	 * @return the stream once it has an element, has completed or the time is over; an
	 * error if the source fails earlier
	 */
	static <T> Mono<Flux<T>> of(Flux<T> source, Duration patience) {
		return Mono.create((result) -> {
			Sinks.Many<T> elements = Sinks.many().unicast().onBackpressureBuffer();
			Disposable.Composite work = Disposables.composite();
			Flux<T> stream = elements.asFlux().doOnCancel(work::dispose);
			work.add(Mono.delay(patience).subscribe((tick) -> result.success(stream)));
			work.add(source.subscribe((element) -> {
				elements.tryEmitNext(element);
				result.success(stream);
			}, (failure) -> {
				elements.tryEmitError(failure);
				result.error(failure);
			}, () -> {
				elements.tryEmitComplete();
				result.success(stream);
			}));
			result.onCancel(work);
		});
	}

}
