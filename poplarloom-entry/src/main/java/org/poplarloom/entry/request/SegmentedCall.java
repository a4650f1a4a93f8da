package org.poplarloom.entry.request;

import java.util.ArrayList;
import java.util.List;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.poplarloom.core.request.Share;
import org.poplarloom.port.EndpointPort;
import org.poplarloom.port.EndpointPort.EngineCall;
import org.poplarloom.port.EndpointPort.EngineEvent;
import org.poplarloom.port.EndpointPort.Segment;

/**
 * Runs a request on the endpoints of its grant.
 * <p>
 * If there are several endpoints, they prefill consecutive segments of the prompt one
 * after another, each importing the KV cache of the segments before its own, and the last
 * one generates the answer. If any endpoint fails, the call fails; {@link #cancel()}
 * frees the memory on all endpoints. This class is immutable and thread-safe.
 */
final class SegmentedCall {

	private final EndpointPort endpoints;

	private final GrantClient grantClient;

	private final HeldGrant held;

	SegmentedCall(EndpointPort endpoints, GrantClient grantClient, HeldGrant held) {
		this.endpoints = endpoints;
		this.grantClient = grantClient;
		this.held = held;
	}

	Flux<EngineEvent> generate(EngineCall call) {
		List<Share> shares = this.held.grant().shares();
		if (shares.size() == 1) {
			return Flux.from(this.endpoints.generate(this.held.answeringAddress(), call));
		}
		Mono<Boolean> prefilled = Mono.just(true);
		for (int i = 0; i < shares.size() - 1; i++) {
			int segment = i;
			prefilled = prefilled.flatMap((isPrefilled) -> prefill(call, segment));
		}
		EngineCall last = call.withSegment(segment(shares.size() - 1));
		return prefilled
			.thenMany(Flux.defer(() -> Flux.from(this.endpoints.generate(this.held.answeringAddress(), last))));
	}

	private Mono<Boolean> prefill(EngineCall call, int segment) {
		String address = this.held.addresses().get(segment);
		return Mono.from(this.endpoints.prefill(address, call.withSegment(segment(segment))))
			.doOnNext((isPrefilled) -> this.grantClient.reportSegmentPrefilled(this.held, segment));
	}

	private Segment segment(int index) {
		List<String> imports = new ArrayList<>();
		for (int i = 0; i < index; i++) {
			imports.add(Segment.exportAddress(this.held.addresses().get(i), this.held.grant().key()));
		}
		return new Segment(this.held.grant().shares().get(index).kvTokens(), String.join(",", imports));
	}

	/**
	 * Cancels the request on all endpoints. The home later frees what an endpoint that
	 * cannot be reached still holds.
	 */
	void cancel() {
		for (String address : this.held.addresses()) {
			Mono.from(this.endpoints.cancel(address, this.held.grant().key())).onErrorComplete().subscribe();
		}
	}

}
