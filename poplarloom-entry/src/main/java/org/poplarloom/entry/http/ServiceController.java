package org.poplarloom.entry.http;

import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Header;
import io.micronaut.http.annotation.Post;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;
import reactor.core.publisher.Mono;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.IdempotencyKey;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.process.TeamLimiter;
import org.poplarloom.core.version.Contract;
import org.poplarloom.core.version.ServiceTerms;
import org.poplarloom.entry.process.Node;
import org.poplarloom.entry.request.Fingerprint;
import org.poplarloom.entry.request.OrderService;
import org.poplarloom.entry.request.ServiceRequest;
import org.poplarloom.entry.request.TeamLimits;
import org.poplarloom.port.ServicePort.ServiceAnswer;
import org.poplarloom.port.ServicePort.ServiceCall;

/**
 * The interface for callers of plain services.
 * <p>
 * A call that must not be repeated under the contract is an order and needs an
 * idempotency key. This class is thread-safe.
 */
@Controller("/v1/services")
final class ServiceController {

	private static final long TOKENS_PER_CALL = 1;

	private final Node node;

	private final OrderService orders;

	private final TeamLimits limits;

	private final CallerAuthentication authentication;

	ServiceController(Node node, OrderService orders, TeamLimits limits, CallerAuthentication authentication) {
		this.node = node;
		this.orders = orders;
		this.limits = limits;
		this.authentication = authentication;
	}

	@Post(uris = { "/{service}", "/{service}/{+path}" })
	@Consumes(MediaType.ALL)
	@ExecuteOn(TaskExecutors.IO)
	Mono<MutableHttpResponse<String>> call(HttpRequest<?> http, String service, @Nullable String path,
			@Header("Idempotency-Key") @Nullable String key, @Body @Nullable byte[] body) {
		http.setAttribute(BodyFilter.BODY_RECEIVED, true);
		Contract contract = this.authentication.requireContract(http);
		ServiceTerms terms = contract.services().get(service);
		if (terms == null) {
			throw new PoplarloomException(ErrorCode.NOT_IN_CONTRACT,
					"the contract does not include the service '" + service + "'");
		}
		byte[] content = (body != null) ? body : new byte[0];
		ServiceRequest request = serviceRequest(http, contract, terms, new Target(service, (path != null) ? path : ""),
				key, content);
		TeamLimiter limiter = this.limits.limiter(contract);
		limiter.admit(TOKENS_PER_CALL, this.node.clock().nowMillis()).ifPresent((refusal) -> {
			throw new PoplarloomException(refusal.code(), org.poplarloom.core.Executed.NO,
					"team " + contract.team() + " has reached a limit of its contract", refusal.retryAfterMillis());
		});
		this.limits.retryBudget(contract.team()).earn(contract.retryBudgetPercent());
		Mono<ServiceAnswer> answer = terms.isRepeatable() ? this.orders.runRepeatable(request)
				: this.orders.runAtMostOnce(request);
		return answer.doFinally((signal) -> limiter.finish(TOKENS_PER_CALL, TOKENS_PER_CALL))
			.map(ServiceController::response);
	}

	private ServiceRequest serviceRequest(HttpRequest<?> http, Contract contract, ServiceTerms terms, Target target,
			String key, byte[] content) {
		IdempotencyKey idempotencyKey = terms.isRepeatable() ? null : IdempotencyKey.parse(key);
		String contentType = http.getContentType().map(MediaType::toString).orElse(MediaType.APPLICATION_JSON);
		String path = "/" + target.path();
		ServiceCall call = new ServiceCall(path, (key != null) ? key : "", contentType, content);
		long deadline = this.node.clock().nowMillis() + Timeouts.millis(http, contract);
		String fingerprint = Fingerprint.of(path, content);
		return new ServiceRequest(contract, target.service(), idempotencyKey, fingerprint, call, deadline);
	}

	private static MutableHttpResponse<String> response(ServiceAnswer answer) {
		return HttpResponse.<String>status(HttpStatus.valueOf(answer.status()))
			.body(answer.body())
			.contentType(answer.contentType());
	}

	/**
	 * The service and path that a call addresses.
	 */
	private record Target(String service, String path) {
	}

}
