package org.poplarloom.entry.request;

import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicReference;

import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.process.ClaimRecord;
import org.poplarloom.core.process.ClaimReplay;
import org.poplarloom.core.usage.UsageLedger;
import org.poplarloom.core.usage.UsagePage;
import org.poplarloom.core.version.ServiceTerms;
import org.poplarloom.entry.process.ClaimLog;
import org.poplarloom.entry.process.Node;
import org.poplarloom.port.InstanceListPort.ListedInstance;
import org.poplarloom.port.ServicePort.ServiceAnswer;

/**
 * Runs calls of plain services. A call that must not be repeated is an order and runs at
 * most once.
 * <p>
 * An order is sent only by the instance whose claim of the idempotency key is the first
 * on the log, only once, and never after that instance has answered that it was not
 * executed. This class is thread-safe.
 */
public final class OrderService {

	private static final long MAX_CLOCK_SKEW_MILLIS = 300_000;

	private static final int MAX_RETRIES = 3;

	private static final int MAX_RECORDED_BODY_CHARACTERS = 64 * 1024;

	private static final Duration OUTCOME_TIMEOUT = Duration.ofMillis(500);

	private static final long MILLIS_PER_SECOND = 1_000;

	private final Node node;

	private final ClaimLog claims;

	private final TeamLimits limits;

	private final PlannedStop plannedStop;

	public OrderService(Node node, ClaimLog claims, TeamLimits limits, PlannedStop plannedStop) {
		this.node = node;
		this.claims = claims;
		this.limits = limits;
		this.plannedStop = plannedStop;
	}

	/**
	 * Runs an order at most once, even if the caller repeats it at other instances.
	 * @param order the order
	 * @return the answer of the service, the recorded answer if the order has run before,
	 * or an error that says whether the order was executed
	 */
	public Mono<ServiceAnswer> runAtMostOnce(ServiceRequest order) {
		return Mono.defer(() -> {
			this.plannedStop.requireAdmitting();
			checkAge(order);
			String stream = ClaimLog.stream(order.key());
			ClaimReplay.State known = this.claims.state(stream, order.claimKey()).orElse(null);
			if (known != null && known.hasOutcome()) {
				return replay(order, known.claim());
			}
			return new OrderAttempt(order, stream).start();
		});
	}

	private void checkAge(ServiceRequest order) {
		ServiceTerms terms = order.contract().services().get(order.service());
		long age = this.node.clock().nowMillis() - order.key().creationMillis();
		if (age > terms.repeatWindowSeconds() * MILLIS_PER_SECOND) {
			throw new PoplarloomException(ErrorCode.EXPIRED_IDEMPOTENCY_KEY, "the idempotency key is " + age
					+ " ms old, but the contract allows repetition for " + terms.repeatWindowSeconds() + " s only");
		}
		if (age < -MAX_CLOCK_SKEW_MILLIS) {
			throw new PoplarloomException(ErrorCode.INVALID_IDEMPOTENCY_KEY,
					"the creation time of the idempotency key is " + -age + " ms in the future");
		}
	}

	private static Mono<ServiceAnswer> replay(ServiceRequest order, ClaimRecord outcome) {
		if (!outcome.fingerprint().equals(order.fingerprint())) {
			return Mono.error(new PoplarloomException(ErrorCode.IDEMPOTENCY_KEY_REUSED,
					"the idempotency key " + order.key() + " was used before for an order with other content"));
		}
		return Mono.just(new ServiceAnswer(outcome.status(), outcome.contentType(), outcome.body()));
	}

	/**
	 * Calls a service whose calls may be repeated and retries failed calls.
	 * @param request the call, whose idempotency key may be null
	 * @return the answer, or an error that says whether the call was executed
	 */
	public Mono<ServiceAnswer> runRepeatable(ServiceRequest request) {
		return Mono.defer(() -> {
			this.plannedStop.requireAdmitting();
			return Mono.firstWithSignal(runWithRetries(request),
					this.plannedStop.requestsEnd()
						.then(Mono.error(() -> new PoplarloomException(ErrorCode.ENDPOINT_FAILED, Executed.UNKNOWN,
								"the instance stops before the service has answered"))));
		});
	}

	private Mono<ServiceAnswer> runWithRetries(ServiceRequest request) {
		long remaining = Math.max(1, request.deadlineMillis() - this.node.clock().nowMillis());
		return Mono.defer(() -> call(request, 0))
			.retryWhen(Retry.max(MAX_RETRIES)
				.filter((failure) -> this.limits.retryBudget(request.contract().team()).trySpend())
				.onRetryExhaustedThrow((retry, signal) -> signal.failure()))
			.timeout(Duration.ofMillis(remaining), Mono.error(new PoplarloomException(ErrorCode.DEADLINE_EXCEEDED,
					Executed.UNKNOWN, "the service did not answer by the deadline")));
	}

	private Mono<ServiceAnswer> call(ServiceRequest request, int index) {
		List<ListedInstance> endpoints = this.node.directory().services(request.service());
		if (index >= endpoints.size()) {
			return Mono.error(new PoplarloomException(ErrorCode.NO_ENDPOINT,
					"no endpoint of service '" + request.service() + "' can be reached"));
		}
		int offset = Math.floorMod(request.fingerprint().hashCode(), endpoints.size());
		ListedInstance chosen = endpoints.get((index + offset) % endpoints.size());
		return Mono.from(this.node.services().call(chosen.address(), request.call()))
			.doOnNext((answer) -> recordUsage(request, EndpointId.of(chosen.id())))
			.onErrorResume(OrderService::isUnsent, (failure) -> call(request, index + 1));
	}

	private void recordUsage(ServiceRequest request, EndpointId endpoint) {
		UsageLedger.Key key = UsageLedger.Key.of(this.node.clock().nowMillis(), request.contract().owner(),
				request.contract().team(), UsageLedger.Key.SERVICE_PREFIX + request.service(), endpoint);
		this.node.usagePublisher()
			.ledger(UsagePage.Kind.CALLER)
			.add(this.node.usagePublisher().writer(), key, new UsageLedger.Totals(1, 0, 0));
	}

	private static boolean isUnsent(Throwable failure) {
		return failure instanceof PoplarloomException known && known.code() == ErrorCode.ENDPOINT_FAILED
				&& known.executed() == Executed.NO;
	}

	/**
	 * One attempt to run an order at this instance.
	 */
	private final class OrderAttempt {

		private final ServiceRequest order;

		private final String stream;

		private final ClaimRecord claim;

		private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.UNSENT);

		OrderAttempt(ServiceRequest order, String stream) {
			this.order = order;
			this.stream = stream;
			this.claim = ClaimRecord.claim(order.claimKey(), UUID.randomUUID().toString(), order.fingerprint());
		}

		Mono<ServiceAnswer> start() {
			long remaining = Math.max(1, this.order.deadlineMillis() - OrderService.this.node.clock().nowMillis());
			Mono<ServiceAnswer> answer = OrderService.this.claims.claim(this.stream, this.claim)
				.flatMap(this::sendIfClaimed)
				.onErrorResume(this::handleFailure)
				.timeout(Duration.ofMillis(remaining), Mono.defer(this::expire))
				.doOnCancel(this::abandon);
			PlannedStop plannedStop = OrderService.this.plannedStop;
			return Mono.firstWithSignal(answer, plannedStop.admissionEnd().then(Mono.defer(this::refuseIfUnsent)),
					plannedStop.requestsEnd().then(Mono.error(this::endedAtShutdown)));
		}

		// The release is waited for, since the process may end once the caller has its
		// answer.
		private Mono<ServiceAnswer> refuseIfUnsent() {
			if (!this.phase.compareAndSet(Phase.UNSENT, Phase.ABANDONED)) {
				return Mono.never();
			}
			return appendRelease().timeout(OUTCOME_TIMEOUT).onErrorComplete().then(Mono.error(PlannedStop::refusal));
		}

		private PoplarloomException endedAtShutdown() {
			return (this.phase.get() == Phase.ABANDONED) ? PlannedStop.refusal() : new PoplarloomException(
					ErrorCode.OUTCOME_UNKNOWN, Executed.UNKNOWN, "the instance stops before the service has answered");
		}

		private Mono<ServiceAnswer> sendIfClaimed(ClaimReplay.State state) {
			if (state.hasOutcome()) {
				return replay(this.order, state.claim());
			}
			if (!state.claim().claimId().equals(this.claim.claimId())) {
				return Mono.error(new PoplarloomException(ErrorCode.OUTCOME_UNKNOWN, Executed.UNKNOWN,
						"an order with the idempotency key " + this.order.key()
								+ " was started and its outcome is not known yet"));
			}
			return this.phase.compareAndSet(Phase.UNSENT, Phase.SENDING) ? send() : Mono.never();
		}

		private Mono<ServiceAnswer> send() {
			if (OrderService.this.node.clock().nowMillis() >= this.order.deadlineMillis()) {
				return failUnsent(new PoplarloomException(ErrorCode.DEADLINE_EXCEEDED,
						"the deadline passed before the order was sent"));
			}
			Mono<ServiceAnswer> answer = call(this.order, 0).flatMap(this::recordOutcome).cache();
			continueAfterDisconnect(answer);
			return answer;
		}

		private void continueAfterDisconnect(Mono<ServiceAnswer> answer) {
			answer.onErrorComplete().subscribe();
		}

		private Mono<ServiceAnswer> recordOutcome(ServiceAnswer answer) {
			boolean fitsRecord = answer.body().length() <= MAX_RECORDED_BODY_CHARACTERS;
			ClaimRecord outcome = this.claim.withOutcome(answer.status(), answer.contentType(),
					fitsRecord ? answer.body() : "");
			Mono<Void> recorded = OrderService.this.claims.appendUntilConfirmed(this.stream, outcome).cache();
			recorded.subscribe((ignored) -> {
			}, (failure) -> {
			});
			return recorded.timeout(OUTCOME_TIMEOUT).onErrorComplete().thenReturn(answer);
		}

		private Mono<ServiceAnswer> handleFailure(Throwable failure) {
			boolean isUnsent = this.phase.compareAndSet(Phase.UNSENT, Phase.ABANDONED);
			PoplarloomException cause = (failure instanceof PoplarloomException known) ? known
					: new PoplarloomException(ErrorCode.INTERNAL, Executed.UNKNOWN, String.valueOf(failure));
			if (cause.code() == ErrorCode.OUTCOME_UNKNOWN || cause.code() == ErrorCode.IDEMPOTENCY_KEY_REUSED) {
				return Mono.error(cause);
			}
			if (isUnsent || cause.executed() == Executed.NO) {
				return failUnsent(new PoplarloomException(cause.code(), Executed.NO, cause.getMessage()));
			}
			return Mono.error(new PoplarloomException(ErrorCode.OUTCOME_UNKNOWN, Executed.UNKNOWN, cause.getMessage()));
		}

		private Mono<ServiceAnswer> failUnsent(PoplarloomException failure) {
			this.phase.set(Phase.ABANDONED);
			release();
			return Mono.error(failure);
		}

		private Mono<ServiceAnswer> expire() {
			boolean isUnsent = this.phase.compareAndSet(Phase.UNSENT, Phase.ABANDONED)
					|| this.phase.get() == Phase.ABANDONED;
			if (isUnsent) {
				release();
			}
			return Mono.error(new PoplarloomException(ErrorCode.DEADLINE_EXCEEDED,
					isUnsent ? Executed.NO : Executed.UNKNOWN, "the order did not end by its deadline"));
		}

		private void abandon() {
			if (this.phase.compareAndSet(Phase.UNSENT, Phase.ABANDONED)) {
				release();
			}
		}

		private void release() {
			appendRelease().onErrorComplete().subscribe();
		}

		private Mono<Void> appendRelease() {
			return OrderService.this.claims.appendUntilConfirmed(this.stream, this.claim.withRelease());
		}

	}

	/**
	 * The state of an attempt.
	 */
	private enum Phase {

		/** The call has not been sent. */
		UNSENT,
		/** The call is being sent or was sent. */
		SENDING,
		/** The call has not been sent and never will be. */
		ABANDONED

	}

}
