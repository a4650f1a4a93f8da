package org.poplarloom.entry.request;

import java.time.Duration;
import java.util.HashSet;
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
import org.poplarloom.core.process.CrashRegister;
import org.poplarloom.core.process.RetryBudget;
import org.poplarloom.core.process.TeamLimiter;
import org.poplarloom.core.request.AnswerPiece;
import org.poplarloom.core.request.AnswerSequence;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.usage.UsageBook;
import org.poplarloom.core.usage.UsagePage;
import org.poplarloom.entry.process.Node;
import org.poplarloom.entry.process.Tracing;
import org.poplarloom.port.EndpointPort.EngineCall;
import org.poplarloom.port.EndpointPort.EngineEvent;

/**
 * Runs chat requests from admission to the last piece of the answer.
 * <p>
 * Every admitted request ends by its deadline with a last piece or an error, and its
 * limits, grant and engine work are released however it ends. This class is thread-safe.
 */
public final class ChatService {

	private static final Logger logger = LoggerFactory.getLogger(ChatService.class);

	private static final int MOST_ATTEMPTS = 4;

	private static final Duration RETRY_DELAY = Duration.ofMillis(50);

	private final Node node;

	private final Limits limits;

	private final EntryMetrics metrics;

	private final BodyBudget budget;

	public ChatService(Node node, Limits limits, EntryMetrics metrics, BodyBudget budget) {
		this.budget = budget;
		this.node = node;
		this.limits = limits;
		this.metrics = metrics;
	}

	/**
	 * Admits a request and streams its answer.
	 * @param request the request
	 * @return the pieces, or an error that says whether the request was executed
	 */
	public Flux<EngineEvent> answer(ChatRequest request) {
		return Flux.defer(() -> {
			this.budget.reserve(request.body().length);
			try {
				admit(request);
			}
			catch (PoplarloomException ex) {
				this.budget.release(request.body().length);
				throw ex;
			}
			Run run = new Run(request);
			long remaining = Math.max(1, request.deadlineMillis() - this.node.clock().nowMillis());
			Mono<Void> deadline = Mono.delay(Duration.ofMillis(remaining)).then(Mono.error(run::deadlineExceeded));
			return run.attempt().takeUntilOther(deadline).doOnError(run::fail).doFinally((signal) -> run.finish());
		});
	}

	private void admit(ChatRequest request) {
		long now = this.node.clock().nowMillis();
		if (this.node.crashes().standing(request.fingerprint(), now) == CrashRegister.Standing.QUARANTINED) {
			throw new PoplarloomException(ErrorCode.QUARANTINED,
					"the request has crashed endpoints and is not run again for a time");
		}
		TeamLimiter limiter = this.limits.limiter(request.contract());
		limiter.admit(request.admittedTokens(), now).ifPresent((refusal) -> {
			throw new PoplarloomException(refusal.code(), Executed.NO,
					"team " + request.contract().team() + " is over its limit", refusal.retryAfterMillis());
		});
		this.limits.retryBudget(request.contract().team()).earn(request.contract().retryBudgetPercent());
	}

	/**
	 * The run of one admitted request over its attempts.
	 */
	private final class Run {

		private final ChatRequest request;

		private final long startedNanos = System.nanoTime();

		private final long acceptedMillis = ChatService.this.node.clock().nowMillis();

		private final Set<EndpointId> excluded = new HashSet<>();

		private int attempt = 1;

		private long delivered;

		private long usedTokens;

		private boolean sent;

		private final Span span;

		private HeldGrant lastHeld;

		Run(ChatRequest request) {
			this.request = request;
			this.span = ChatService.this.node.tracing().start("request", request.traceParent());
			this.span.setAttribute("request", request.id());
			this.span.setAttribute("team", request.contract().team().value());
		}

		Flux<EngineEvent> attempt() {
			Span grantSpan = ChatService.this.node.tracing().start("grant", Tracing.header(this.span));
			return ChatService.this.node.grants()
				.acquire(grantRequest(), Tracing.header(grantSpan))
				.doFinally((signal) -> grantSpan.end())
				.flatMapMany(this::stream)
				.onErrorResume(this::retryOrFail);
		}

		private GrantRequest grantRequest() {
			long now = ChatService.this.node.clock().nowMillis();
			boolean isSuspect = ChatService.this.node.crashes()
				.standing(this.request.fingerprint(), now) == CrashRegister.Standing.SUSPECT;
			boolean isIsolated = isSuspect && this.delivered == 0;
			return new GrantRequest(this.request.id(), this.attempt, this.request.contract().team(),
					this.request.shape().model(), this.request.shape().promptTokens(),
					this.request.shape().answerTokens(), this.request.shape().prefixHash(),
					this.request.deadlineMillis(), isIsolated, this.excluded);
		}

		private Flux<EngineEvent> stream(HeldGrant held) {
			this.sent = true;
			this.lastHeld = held;
			AnswerSequence sequence = AnswerSequence.of(this.request.id(), this.attempt, this.delivered);
			Span endpointSpan = ChatService.this.node.tracing().start("endpoint", Tracing.header(this.span));
			endpointSpan.setAttribute("endpoint", held.grant().answering().value());
			EngineCall call = new EngineCall(this.request.id(), this.attempt, held.grant().priority(),
					held.grant().fence().value(), this.delivered, account(held.grant().answering()).account(), null,
					Tracing.header(endpointSpan), this.request.body());
			Outcome outcome = new Outcome(held, sequence);
			SegmentedCall segmented = new SegmentedCall(ChatService.this.node.endpoints(),
					ChatService.this.node.grants(), held);
			return segmented.generate(call)
				.<EngineEvent>handle((event, sink) -> accept(outcome, event, sink))
				.concatWith(Flux.defer(() -> outcome.isEnded() ? Flux.empty() : Flux.error(cutOff())))
				.doOnError(outcome::fail)
				.doFinally((signal) -> {
					endpointSpan.end();
					outcome.release();
				});
		}

		private UsageBook.Key account(EndpointId endpoint) {
			return UsageBook.Key.of(this.acceptedMillis, this.request.contract().owner(),
					this.request.contract().team(), this.request.shape().model(), endpoint);
		}

		private PoplarloomException cutOff() {
			return new PoplarloomException(ErrorCode.ENDPOINT_FAILED, Executed.YES, "the answer ended early");
		}

		private void accept(Outcome outcome, EngineEvent event, SynchronousSink<EngineEvent> sink) {
			AnswerPiece piece = new AnswerPiece(event.request(), event.attempt(), event.position(), event.tokens(),
					event.text(), event.finish());
			switch (outcome.sequence.accept(piece)) {
				case GAP -> sink.error(new PoplarloomException(ErrorCode.ENDPOINT_FAILED, Executed.YES,
						"pieces are missing at position " + outcome.sequence.nextPosition()));
				case DELIVER -> {
					outcome.firstPiece();
					this.delivered += event.tokens();
					if (piece.isLast()) {
						record(outcome.held, event);
					}
					sink.next(event);
				}
				default -> ChatService.this.metrics.countDroppedPiece();
			}
		}

		private void record(HeldGrant held, EngineEvent last) {
			this.usedTokens = last.promptTokens() + last.answerTokens();
			ChatService.this.node.usage()
				.book(UsagePage.Kind.CALLER)
				.add(ChatService.this.node.usage().writer(), account(held.grant().answering()),
						new UsageBook.Totals(1, last.promptTokens(), last.answerTokens()));
			ChatService.this.node.crashes().clear(this.request.fingerprint());
		}

		private Flux<EngineEvent> retryOrFail(Throwable failure) {
			PoplarloomException cause = (failure instanceof PoplarloomException known) ? known
					: new PoplarloomException(ErrorCode.INTERNAL, Executed.UNKNOWN, String.valueOf(failure));
			Mono<Boolean> confirmation = (cause.code() == ErrorCode.ENDPOINT_FAILED) ? noteCrash() : Mono.just(false);
			return confirmation.flatMapMany((isCrash) -> decide(cause));
		}

		private Mono<Boolean> noteCrash() {
			HeldGrant failed = this.lastHeld;
			return Mono.from(ChatService.this.node.endpoints().report(failed.answeringAddress()))
				.map((report) -> !report.bootId().equals(failed.answeringBoot()))
				.onErrorReturn(true)
				.flatMap((isCrash) -> isCrash ? spreadCrash(failed).thenReturn(true) : Mono.just(false));
		}

		private Mono<Void> spreadCrash(HeldGrant failed) {
			ChatService.this.node.crashes()
				.note(this.request.fingerprint(), failed.grant().answering(), failed.answeringBoot(),
						ChatService.this.node.clock().nowMillis());
			return ChatService.this.node.gossiper().spreadConfirmed();
		}

		private Flux<EngineEvent> decide(PoplarloomException cause) {
			boolean isRetryable = cause.code() == ErrorCode.ENDPOINT_FAILED || cause.code() == ErrorCode.NOT_HOME;
			if (!isRetryable || this.attempt >= MOST_ATTEMPTS || isQuarantined() || !spendRetry(cause)) {
				return Flux.error(this.sent ? executed(cause) : cause);
			}
			logger.info("request {} attempt {} failed: {}", this.request.id(), this.attempt, cause.getMessage());
			ChatService.this.metrics.countRetry();
			this.attempt++;
			return Mono.delay(RETRY_DELAY).thenMany(Flux.defer(this::attempt));
		}

		private PoplarloomException executed(PoplarloomException cause) {
			return new PoplarloomException(cause.code(), Executed.YES, cause.getMessage(), cause.retryAfterMillis());
		}

		private boolean isQuarantined() {
			return ChatService.this.node.crashes()
				.standing(this.request.fingerprint(),
						ChatService.this.node.clock().nowMillis()) == CrashRegister.Standing.QUARANTINED;
		}

		private boolean spendRetry(PoplarloomException cause) {
			RetryBudget budget = ChatService.this.limits.retryBudget(this.request.contract().team());
			return cause.code() == ErrorCode.NOT_HOME || budget.trySpend();
		}

		private PoplarloomException deadlineExceeded() {
			return new PoplarloomException(ErrorCode.DEADLINE_EXCEEDED, this.sent ? Executed.YES : Executed.NO,
					"the request did not end by its deadline");
		}

		private void fail(Throwable failure) {
			this.span.setStatus(StatusCode.ERROR, String.valueOf(failure.getMessage()));
		}

		private void finish() {
			this.span.end();
			ChatService.this.budget.release(this.request.body().length);
			ChatService.this.limits.limiter(this.request.contract())
				.finish(this.request.admittedTokens(), this.usedTokens);
		}

		/**
		 * What became of one attempt.
		 */
		private final class Outcome {

			private final HeldGrant held;

			private final AnswerSequence sequence;

			private EndpointId failedEndpoint;

			private boolean started;

			Outcome(HeldGrant held, AnswerSequence sequence) {
				this.held = held;
				this.sequence = sequence;
			}

			boolean isEnded() {
				return this.sequence.isEnded();
			}

			void firstPiece() {
				if (!this.started) {
					this.started = true;
					ChatService.this.node.grants().firstToken(this.held);
					if (Run.this.delivered == 0) {
						ChatService.this.metrics.firstToken(Run.this.request.shape().promptTokens(),
								System.nanoTime() - Run.this.startedNanos);
					}
				}
			}

			void fail(Throwable failure) {
				boolean isEndpoint = failure instanceof PoplarloomException known
						&& known.code() == ErrorCode.ENDPOINT_FAILED;
				if (isEndpoint) {
					this.failedEndpoint = this.held.grant().answering();
					Run.this.excluded.add(this.failedEndpoint);
				}
			}

			void release() {
				ChatService.this.node.grants().release(this.held, this.failedEndpoint);
				if (!isEnded()) {
					Mono.from(ChatService.this.node.endpoints()
						.cancel(this.held.answeringAddress(), this.held.grant().key())).onErrorComplete().subscribe();
				}
			}

		}

	}

}
