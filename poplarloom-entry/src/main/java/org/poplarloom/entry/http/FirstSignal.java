package org.poplarloom.entry.http;

import java.time.Duration;

import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Waits a limited time for the first element of a stream, so that an early failure can
 * still set the status of the response.
 * <p>
 * Cancelling the returned stream cancels its source. This class has no state and is
 * thread-safe.
 */
final class FirstSignal {

	private FirstSignal() {
	}

	/**
	 * Subscribes to a stream and waits for its first signal.
	 * @param <T> the type of the elements
	 * @param source the stream, subscribed to at once
	 * @param timeout how long to wait
	 * @return the stream as soon as it has an element, has completed or the timeout has
	 * passed; an error if the source fails before that
	 */
	static <T> Mono<Flux<T>> of(Flux<T> source, Duration timeout) {
		return Mono.create((result) -> {
			Sinks.Many<T> elements = Sinks.many().unicast().onBackpressureBuffer();
			Disposable.Composite subscriptions = Disposables.composite();
			Flux<T> stream = elements.asFlux().doOnCancel(subscriptions::dispose);
			subscriptions.add(Mono.delay(timeout).subscribe((tick) -> result.success(stream)));
			subscriptions.add(source.subscribe((element) -> {
				elements.tryEmitNext(element);
				result.success(stream);
			}, (failure) -> {
				elements.tryEmitError(failure);
				result.error(failure);
			}, () -> {
				elements.tryEmitComplete();
				result.success(stream);
			}));
			result.onCancel(subscriptions);
		});
	}

}
