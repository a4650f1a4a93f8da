package org.poplarloom.entry.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SynchronousSink;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.process.CrashRegistry;
import org.poplarloom.core.process.RetryBudget;
import org.poplarloom.core.process.TeamLimiter;
import org.poplarloom.core.request.AnswerChunk;
import org.poplarloom.core.request.AnswerSequence;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.usage.UsageLedger;
import org.poplarloom.core.usage.UsagePage;
import org.poplarloom.entry.process.Node;
import org.poplarloom.entry.process.Tracing;
import org.poplarloom.port.EndpointPort.EngineCall;
import org.poplarloom.port.EndpointPort.EngineEvent;

/**
 * Runs chat requests from admission to the last chunk of the answer.
 * <p>
 * Every admitted request ends by its deadline, or by the end of a planned stop, with a
 * last chunk or an error. However it ends, it is taken off the team's limits, its grant
 * is released and unfinished work on the engine is cancelled. This class is thread-safe.
 */
public final class ChatService {

	private static final Logger logger = LoggerFactory.getLogger(ChatService.class);

	private static final int MAX_ATTEMPTS = 4;

	/**
	 * A stale fencing token is replaced after the endpoint's next report, which is due
	 * within 500 ms.
	 */
	private static final int MAX_REJECTED_ATTEMPTS = 20;

	private static final Duration RETRY_DELAY = Duration.ofMillis(50);

	private static final Duration REJECTED_RETRY_DELAY = Duration.ofMillis(200);

	private final Node node;

	private final TeamLimits limits;

	private final EntryMetrics metrics;

	private final BodyBudget bodyBudget;

	private final PlannedStop plannedStop;

	public ChatService(Node node, TeamLimits limits, EntryMetrics metrics, BodyBudget bodyBudget,
			PlannedStop plannedStop) {
		this.bodyBudget = bodyBudget;
		this.plannedStop = plannedStop;
		this.node = node;
		this.limits = limits;
		this.metrics = metrics;
	}

	/**
	 * Admits a request and streams its answer.
	 * @param request the request
	 * @return the chunks, or an error that says whether the request was executed
	 */
	public Flux<EngineEvent> answer(ChatRequest request) {
		return Flux.defer(() -> {
			this.plannedStop.requireAdmitting();
			this.bodyBudget.reserve(request.body().length);
			try {
				admit(request);
			}
			catch (PoplarloomException ex) {
				this.bodyBudget.release(request.body().length);
				throw ex;
			}
			Execution execution = new Execution(request);
			long remaining = Math.max(1, request.deadlineMillis() - this.node.clock().nowMillis());
			Mono<Void> deadline = Mono.delay(Duration.ofMillis(remaining))
				.then(Mono.error(execution::deadlineExceeded));
			return execution.startAttempt()
				.takeUntilOther(deadline)
				.takeUntilOther(this.plannedStop.admissionEnd().then(Mono.defer(execution::refuseIfWaiting)))
				.takeUntilOther(this.plannedStop.requestsEnd().then(Mono.error(execution::endedAtShutdown)))
				.doOnError(execution::markSpanFailed)
				.doFinally((signal) -> execution.finish());
		});
	}

	private void admit(ChatRequest request) {
		long now = this.node.clock().nowMillis();
		long quarantineMillis = this.node.crashes().quarantineMillis(request.fingerprint(), now);
		if (quarantineMillis > 0) {
			throw new PoplarloomException(ErrorCode.QUARANTINED, Executed.NO,
					"requests with this content have crashed endpoints and are quarantined for a limited time",
					quarantineMillis);
		}
		TeamLimiter limiter = this.limits.limiter(request.contract());
		limiter.admit(request.admittedTokens(), now).ifPresent((refusal) -> {
			throw new PoplarloomException(refusal.code(), Executed.NO,
					"team " + request.contract().team() + " has reached a limit of its contract",
					refusal.retryAfterMillis());
		});
		this.limits.retryBudget(request.contract().team()).earn(request.contract().retryBudgetPercent());
	}

	/**
	 * The execution of one admitted request, in one or more attempts.
	 */
	private final class Execution {

		private final ChatRequest request;

		private final long startedNanos = System.nanoTime();

		private final long acceptedMillis = ChatService.this.node.clock().nowMillis();

		private final Set<EndpointId> excluded = new HashSet<>();

		private int attemptNumber = 1;

		/** The attempts that endpoints have rejected without executing anything. */
		private int rejectedAttempts;

		private long deliveredTokens;

		private long usedTokens;

		private long attemptStartedMillis;

		private volatile boolean sent;

		private final Span span;

		private HeldGrant lastGrant;

		Execution(ChatRequest request) {
			this.request = request;
			this.span = ChatService.this.node.tracing().start("request", request.traceParent());
			this.span.setAttribute("request", request.id());
			this.span.setAttribute("team", request.contract().team().value());
		}

		Flux<EngineEvent> startAttempt() {
			Span grantSpan = ChatService.this.node.tracing().start("grant", Tracing.traceParent(this.span));
			return ChatService.this.node.grantClient()
				.acquire(grantRequest(), Tracing.traceParent(grantSpan))
				.doFinally((signal) -> grantSpan.end())
				.flatMapMany(this::stream)
				.onErrorResume(this::handleFailure);
		}

		private GrantRequest grantRequest() {
			long now = ChatService.this.node.clock().nowMillis();
			boolean isSuspect = ChatService.this.node.crashes()
				.status(this.request.fingerprint(), now) == CrashRegistry.Status.SUSPECT;
			boolean isIsolated = isSuspect && this.deliveredTokens == 0;
			return new GrantRequest(this.request.id(), this.attemptNumber, this.request.contract().team(),
					this.request.shape().model(), this.request.shape().promptTokens(),
					this.request.shape().answerTokens(), this.request.shape().prefixHash(),
					this.request.deadlineMillis(), isIsolated, this.excluded);
		}

		private Flux<EngineEvent> stream(HeldGrant held) {
			Attempt attempt = new Attempt(held, this.sent);
			this.sent = true;
			this.attemptStartedMillis = ChatService.this.node.clock().nowMillis();
			this.lastGrant = held;
			Span endpointSpan = ChatService.this.node.tracing().start("endpoint", Tracing.traceParent(this.span));
			endpointSpan.setAttribute("endpoint", held.grant().answeringEndpoint().value());
			EngineCall call = new EngineCall(this.request.id(), this.attemptNumber, held.grant().priority(),
					held.grant().fencingToken().value(), this.deliveredTokens,
					usageKey(held.grant().answeringEndpoint()).account(), null, Tracing.traceParent(endpointSpan),
					this.request.body());
			SegmentedCall segmentedCall = new SegmentedCall(ChatService.this.node.endpoints(),
					ChatService.this.node.grantClient(), held);
			return segmentedCall.generate(call)
				.<EngineEvent>handle((event, sink) -> accept(attempt, event, sink))
				.concatWith(Flux.defer(() -> attempt.isEnded() ? Flux.empty() : Flux.error(truncated())))
				.doOnError(attempt::recordFailure)
				.doFinally((signal) -> {
					endpointSpan.end();
					attempt.release();
				});
		}

		private UsageLedger.Key usageKey(EndpointId endpoint) {
			return UsageLedger.Key.of(this.acceptedMillis, this.request.contract().owner(),
					this.request.contract().team(), this.request.shape().model(), endpoint);
		}

		private PoplarloomException truncated() {
			return new PoplarloomException(ErrorCode.ENDPOINT_FAILED, Executed.YES,
					"the stream of the engine ended before the last chunk");
		}

		private void accept(Attempt attempt, EngineEvent event, SynchronousSink<EngineEvent> sink) {
			AnswerChunk chunk = new AnswerChunk(event.requestId(), event.attempt(), event.position(), event.tokens(),
					event.text(), event.finishReason());
			switch (attempt.sequence.accept(chunk)) {
				case GAP -> sink.error(new PoplarloomException(ErrorCode.ENDPOINT_FAILED, Executed.YES,
						"chunks of the answer are missing at position " + attempt.sequence.nextPosition()));
				case DELIVER -> {
					attempt.reportFirstToken();
					this.deliveredTokens += event.tokens();
					if (chunk.isLast()) {
						recordUsage(attempt.held, event);
					}
					sink.next(event);
				}
				default -> ChatService.this.metrics.countDroppedChunk();
			}
		}

		private void recordUsage(HeldGrant held, EngineEvent last) {
			this.usedTokens = last.promptTokens() + last.answerTokens();
			ChatService.this.node.usagePublisher()
				.ledger(UsagePage.Kind.CALLER)
				.add(ChatService.this.node.usagePublisher().writer(), usageKey(held.grant().answeringEndpoint()),
						new UsageLedger.Totals(1, last.promptTokens(), last.answerTokens()));
			ChatService.this.node.crashInvestigation()
				.recordSurvivor(List.of(this.request.fingerprint()), this.attemptStartedMillis);
		}

		private Flux<EngineEvent> handleFailure(Throwable failure) {
			PoplarloomException cause = (failure instanceof PoplarloomException known) ? known
					: new PoplarloomException(ErrorCode.INTERNAL, Executed.UNKNOWN, String.valueOf(failure));
			Mono<Boolean> crashRecorded = (cause.code() == ErrorCode.ENDPOINT_FAILED) ? recordIfCrashed()
					: Mono.just(false);
			return crashRecorded.flatMapMany((isCrash) -> retryOrFail(cause));
		}

		private Mono<Boolean> recordIfCrashed() {
			HeldGrant failed = this.lastGrant;
			return Mono.from(ChatService.this.node.endpoints().report(failed.answeringAddress()))
				.map((report) -> !report.bootId().equals(failed.answeringBootId()))
				.onErrorReturn(true)
				.flatMap((isCrash) -> isCrash ? recordCrash(failed).thenReturn(true) : Mono.just(false));
		}

		private Mono<Void> recordCrash(HeldGrant failed) {
			ChatService.this.node.crashes()
				.recordCrash(this.request.fingerprint(), failed.grant().answeringEndpoint(), failed.answeringBootId(),
						ChatService.this.node.clock().nowMillis());
			return ChatService.this.node.gossiper().broadcastAndConfirm();
		}

		private Flux<EngineEvent> retryOrFail(PoplarloomException cause) {
			boolean isRetryable = cause.code() == ErrorCode.ENDPOINT_FAILED || cause.code() == ErrorCode.NOT_HOME;
			boolean isLastAttempt = this.attemptNumber - this.rejectedAttempts >= MAX_ATTEMPTS
					|| this.rejectedAttempts >= MAX_REJECTED_ATTEMPTS;
			if (!isRetryable || isLastAttempt || isQuarantined() || !spendRetry(cause)) {
				return Flux.error(this.sent ? withExecuted(cause) : cause);
			}
			logger.info("request {} attempt {} failed, retrying: {}", this.request.id(), this.attemptNumber,
					cause.getMessage());
			ChatService.this.metrics.countRetry();
			this.attemptNumber++;
			Duration delay = (this.rejectedAttempts > 0) ? REJECTED_RETRY_DELAY : RETRY_DELAY;
			return Mono.delay(delay).thenMany(Flux.defer(this::startAttempt));
		}

		private PoplarloomException withExecuted(PoplarloomException cause) {
			return new PoplarloomException(cause.code(), Executed.YES, cause.getMessage(), cause.retryAfterMillis());
		}

		private boolean isQuarantined() {
			return ChatService.this.node.crashes()
				.status(this.request.fingerprint(),
						ChatService.this.node.clock().nowMillis()) == CrashRegistry.Status.QUARANTINED;
		}

		private boolean spendRetry(PoplarloomException cause) {
			RetryBudget budget = ChatService.this.limits.retryBudget(this.request.contract().team());
			return cause.code() == ErrorCode.NOT_HOME || budget.trySpend();
		}

		private PoplarloomException deadlineExceeded() {
			return new PoplarloomException(ErrorCode.DEADLINE_EXCEEDED, this.sent ? Executed.YES : Executed.NO,
					"the request did not end by its deadline");
		}

		private Mono<Void> refuseIfWaiting() {
			return this.sent ? Mono.never() : Mono.error(PlannedStop.refusal());
		}

		private PoplarloomException endedAtShutdown() {
			return this.sent ? new PoplarloomException(ErrorCode.ENDPOINT_FAILED, Executed.YES,
					"the instance stops before the answer is complete") : PlannedStop.refusal();
		}

		private void markSpanFailed(Throwable failure) {
			this.span.setStatus(StatusCode.ERROR, String.valueOf(failure.getMessage()));
		}

		private void finish() {
			this.span.end();
			ChatService.this.bodyBudget.release(this.request.body().length);
			ChatService.this.limits.limiter(this.request.contract())
				.finish(this.request.admittedTokens(), this.usedTokens);
		}

		/**
		 * The state of one attempt.
		 */
		private final class Attempt {

			private final HeldGrant held;

			private final AnswerSequence sequence;

			private final boolean sentBefore;

			private EndpointId failedEndpoint;

			private boolean firstTokenReported;

			Attempt(HeldGrant held, boolean sentBefore) {
				this.held = held;
				this.sequence = AnswerSequence.of(Execution.this.request.id(), Execution.this.attemptNumber,
						Execution.this.deliveredTokens);
				this.sentBefore = sentBefore;
			}

			boolean isEnded() {
				return this.sequence.isEnded();
			}

			void reportFirstToken() {
				if (!this.firstTokenReported) {
					this.firstTokenReported = true;
					ChatService.this.node.grantClient().reportFirstToken(this.held);
					if (Execution.this.deliveredTokens == 0) {
						ChatService.this.metrics.recordFirstToken(Execution.this.request.shape().promptTokens(),
								System.nanoTime() - Execution.this.startedNanos);
					}
				}
			}

			void recordFailure(Throwable failure) {
				ErrorCode code = (failure instanceof PoplarloomException known) ? known.code() : ErrorCode.INTERNAL;
				if (code == ErrorCode.ENDPOINT_FAILED) {
					this.failedEndpoint = this.held.grant().answeringEndpoint();
					Execution.this.excluded.add(this.failedEndpoint);
				}
				else if (code == ErrorCode.NOT_HOME && this.held.grant().shares().size() == 1) {
					Execution.this.rejectedAttempts++;
					Execution.this.sent = this.sentBefore;
				}
			}

			void release() {
				ChatService.this.node.grantClient().release(this.held, this.failedEndpoint);
				if (!isEnded()) {
					Mono.from(ChatService.this.node.endpoints()
						.cancel(this.held.answeringAddress(), this.held.grant().key())).onErrorComplete().subscribe();
				}
			}

		}

	}

}
