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
import org.poplarloom.core.process.ClaimFold;
import org.poplarloom.core.process.ClaimRecord;
import org.poplarloom.core.usage.UsageBook;
import org.poplarloom.core.usage.UsagePage;
import org.poplarloom.core.version.ServiceTerms;
import org.poplarloom.entry.process.ClaimLog;
import org.poplarloom.entry.process.Node;
import org.poplarloom.port.InstanceListPort.Listed;
import org.poplarloom.port.ServicePort.ServiceAnswer;

/**
 * Runs calls of plain services; those that may not be repeated run at most once.
 * <p>
 * Such an order is sent only by the instance whose claim is first on the log, only once,
 * and never after that instance has answered that it was not run. This class is
 * thread-safe.
 */
public final class OrderService {

	private static final long LARGEST_CLOCK_ERROR_MILLIS = 300_000;

	private static final int MOST_RETRIES = 3;

	private static final int LARGEST_RECORDED_BODY = 64 * 1024;

	private static final Duration OUTCOME_PATIENCE = Duration.ofMillis(500);

	private static final long MILLIS_PER_SECOND = 1_000;

	private final Node node;

	private final ClaimLog claims;

	private final Limits limits;

	public OrderService(Node node, ClaimLog claims, Limits limits) {
		this.node = node;
		this.claims = claims;
		this.limits = limits;
	}

	/**
	 * Runs an order at most once, also if it is repeated at other instances.
	 * @param order the order
	 * @return the answer of the service or of the run that took effect before, or an
	 * error that says whether the order was executed
	 */
	public Mono<ServiceAnswer> runOnce(Order order) {
		return Mono.defer(() -> {
			checkAge(order);
			String stream = ClaimLog.stream(order.key());
			ClaimFold.State known = this.claims.state(stream, order.claimKey()).orElse(null);
			if (known != null && known.isDone()) {
				return replay(order, known.claim());
			}
			return new Run(order, stream).start();
		});
	}

	private void checkAge(Order order) {
		ServiceTerms terms = order.contract().services().get(order.service());
		long age = this.node.clock().nowMillis() - order.key().creationMillis();
		if (age > terms.repeatWindowSeconds() * MILLIS_PER_SECOND) {
			throw new PoplarloomException(ErrorCode.EXPIRED_IDEMPOTENCY_KEY, "the idempotency key is " + age
					+ " ms old, but the contract remembers keys for " + terms.repeatWindowSeconds() + " s");
		}
		if (age < -LARGEST_CLOCK_ERROR_MILLIS) {
			throw new PoplarloomException(ErrorCode.INVALID_IDEMPOTENCY_KEY,
					"the idempotency key was created " + -age + " ms in the future");
		}
	}

	private static Mono<ServiceAnswer> replay(Order order, ClaimRecord outcome) {
		if (!outcome.fingerprint().equals(order.fingerprint())) {
			return Mono.error(new PoplarloomException(ErrorCode.IDEMPOTENCY_KEY_REUSED,
					"the idempotency key was used for an order with other content"));
		}
		return Mono.just(new ServiceAnswer(outcome.status(), outcome.contentType(), outcome.body()));
	}

	/**
	 * Calls a service whose calls may be repeated.
	 * @param order the call; its key may be null
	 * @return the answer, or an error that says whether the call was executed
	 */
	public Mono<ServiceAnswer> runRepeatable(Order order) {
		long remaining = Math.max(1, order.deadlineMillis() - this.node.clock().nowMillis());
		return Mono.defer(() -> call(order, 0))
			.retryWhen(Retry.max(MOST_RETRIES)
				.filter((failure) -> this.limits.retryBudget(order.contract().team()).trySpend())
				.onRetryExhaustedThrow((retry, signal) -> signal.failure()))
			.timeout(Duration.ofMillis(remaining), Mono.error(new PoplarloomException(ErrorCode.DEADLINE_EXCEEDED,
					Executed.UNKNOWN, "the service did not answer by the deadline")));
	}

	private Mono<ServiceAnswer> call(Order order, int index) {
		List<Listed> processes = this.node.directory().services(order.service());
		if (index >= processes.size()) {
			return Mono.error(new PoplarloomException(ErrorCode.NO_ENDPOINT,
					"no process of service '" + order.service() + "' can be reached"));
		}
		int offset = Math.floorMod(order.fingerprint().hashCode(), processes.size());
		Listed chosen = processes.get((index + offset) % processes.size());
		return Mono.from(this.node.services().call(chosen.address(), order.call()))
			.doOnNext((answer) -> record(order, EndpointId.of(chosen.id())))
			.onErrorResume(OrderService::isUnsent, (failure) -> call(order, index + 1));
	}

	private void record(Order order, EndpointId endpoint) {
		UsageBook.Key key = UsageBook.Key.of(this.node.clock().nowMillis(), order.contract().owner(),
				order.contract().team(), UsageBook.Key.SERVICE_PREFIX + order.service(), endpoint);
		this.node.usage()
			.book(UsagePage.Kind.CALLER)
			.add(this.node.usage().writer(), key, new UsageBook.Totals(1, 0, 0));
	}

	private static boolean isUnsent(Throwable failure) {
		return failure instanceof PoplarloomException known && known.code() == ErrorCode.ENDPOINT_FAILED
				&& known.executed() == Executed.NO;
	}

	/**
	 * One try of an order at this instance.
	 */
	private final class Run {

		private final Order order;

		private final String stream;

		private final ClaimRecord claim;

		private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.UNSENT);

		Run(Order order, String stream) {
			this.order = order;
			this.stream = stream;
			this.claim = ClaimRecord.claim(order.claimKey(), UUID.randomUUID().toString(), order.fingerprint());
		}

		Mono<ServiceAnswer> start() {
			long remaining = Math.max(1, this.order.deadlineMillis() - OrderService.this.node.clock().nowMillis());
			return OrderService.this.claims.claim(this.stream, this.claim)
				.flatMap(this::decide)
				.onErrorResume(this::fail)
				.timeout(Duration.ofMillis(remaining), Mono.defer(this::expire))
				.doOnCancel(this::abandon);
		}

		private Mono<ServiceAnswer> decide(ClaimFold.State state) {
			if (state.isDone()) {
				return replay(this.order, state.claim());
			}
			if (!state.claim().claimId().equals(this.claim.claimId())) {
				return Mono.error(new PoplarloomException(ErrorCode.OUTCOME_UNKNOWN, Executed.UNKNOWN,
						"an order with this idempotency key was started and its outcome is not known yet"));
			}
			return this.phase.compareAndSet(Phase.UNSENT, Phase.SENDING) ? send() : Mono.empty();
		}

		private Mono<ServiceAnswer> send() {
			if (OrderService.this.node.clock().nowMillis() >= this.order.deadlineMillis()) {
				return giveUp(new PoplarloomException(ErrorCode.DEADLINE_EXCEEDED,
						"the deadline passed before the order was sent"));
			}
			Mono<ServiceAnswer> answer = call(this.order, 0).flatMap(this::recordOutcome).cache();
			goOnWithoutCaller(answer);
			return answer;
		}

		private void goOnWithoutCaller(Mono<ServiceAnswer> answer) {
			answer.onErrorComplete().subscribe();
		}

		private Mono<ServiceAnswer> recordOutcome(ServiceAnswer answer) {
			boolean isRecordable = answer.body().length() <= LARGEST_RECORDED_BODY;
			ClaimRecord outcome = this.claim.withOutcome(answer.status(), answer.contentType(),
					isRecordable ? answer.body() : "");
			Mono<Void> recorded = OrderService.this.claims.settle(this.stream, outcome).cache();
			recorded.subscribe((done) -> {
			}, (failure) -> {
			});
			return recorded.timeout(OUTCOME_PATIENCE).onErrorComplete().thenReturn(answer);
		}

		private Mono<ServiceAnswer> fail(Throwable failure) {
			boolean isNeverSent = this.phase.compareAndSet(Phase.UNSENT, Phase.ABANDONED);
			PoplarloomException cause = (failure instanceof PoplarloomException known) ? known
					: new PoplarloomException(ErrorCode.INTERNAL, Executed.UNKNOWN, String.valueOf(failure));
			if (cause.code() == ErrorCode.OUTCOME_UNKNOWN || cause.code() == ErrorCode.IDEMPOTENCY_KEY_REUSED) {
				return Mono.error(cause);
			}
			if (isNeverSent || cause.executed() == Executed.NO) {
				return giveUp(new PoplarloomException(cause.code(), Executed.NO, cause.getMessage()));
			}
			return Mono.error(new PoplarloomException(ErrorCode.OUTCOME_UNKNOWN, Executed.UNKNOWN, cause.getMessage()));
		}

		private Mono<ServiceAnswer> giveUp(PoplarloomException answer) {
			this.phase.set(Phase.ABANDONED);
			release();
			return Mono.error(answer);
		}

		private Mono<ServiceAnswer> expire() {
			boolean isNeverSent = this.phase.compareAndSet(Phase.UNSENT, Phase.ABANDONED)
					|| this.phase.get() == Phase.ABANDONED;
			if (isNeverSent) {
				release();
			}
			return Mono.error(new PoplarloomException(ErrorCode.DEADLINE_EXCEEDED,
					isNeverSent ? Executed.NO : Executed.UNKNOWN, "the order did not end by its deadline"));
		}

		private void abandon() {
			if (this.phase.compareAndSet(Phase.UNSENT, Phase.ABANDONED)) {
				release();
			}
		}

		private void release() {
			OrderService.this.claims.settle(this.stream, this.claim.withRelease()).onErrorComplete().subscribe();
		}

	}

	/**
	 * How far a try has got.
	 */
	private enum Phase {

		/** Nothing was sent yet. */
		UNSENT,
		/** The call is being sent or was sent. */
		SENDING,
		/** Nothing was sent and nothing ever will be. */
		ABANDONED

	}

}
