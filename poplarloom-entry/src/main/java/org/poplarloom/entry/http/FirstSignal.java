package org.poplarloom.entry.http;

import java.util.concurrent.atomic.AtomicReference;

import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Waits for the first element of a stream, so that a failure before it can still choose
 * the status of the response.
 * <p>
 * Cancelling the stream cancels its source. This class has no state and is thread-safe.
 */
final class FirstSignal {

	private FirstSignal() {
	}

	static <T> Mono<Flux<T>> of(Flux<T> source) {
		return Mono.create((result) -> {
			Sinks.Many<T> rest = Sinks.many().unicast().onBackpressureBuffer();
			AtomicReference<Disposable> subscription = new AtomicReference<>();
			Runnable cancel = () -> {
				Disposable current = subscription.get();
				if (current != null) {
					current.dispose();
				}
			};
			Flux<T> stream = rest.asFlux().doOnCancel(cancel);
			subscription.set(source.subscribe((element) -> {
				rest.tryEmitNext(element);
				result.success(stream);
			}, (failure) -> {
				rest.tryEmitError(failure);
				result.error(failure);
			}, () -> {
				rest.tryEmitComplete();
				result.success(stream);
			}));
			result.onCancel(cancel::run);
		});
	}

}
