package org.poplarloom.port;

import java.util.List;

import org.reactivestreams.Publisher;

/**
 * A model engine.
 * <p>
 * Implementations are thread-safe.
 */
public interface EndpointPort extends ReportPort {

	/**
	 * Runs a request and streams its answer.
	 * @param address the engine's host and port
	 * @param call the request
	 * @return the pieces, or an error with code {@code endpoint_failed}; cancelling the
	 * subscription closes the stream
	 */
	Publisher<EngineEvent> generate(String address, EngineCall call);

	/**
	 * Prefills a part of a prompt, which the engine then holds until the request is
	 * cancelled.
	 * @param address the engine's host and port
	 * @param call the request with its segment
	 * @return completes when the part is prefilled, or an error with code
	 * {@code endpoint_failed}
	 */
	Publisher<Boolean> prefill(String address, EngineCall call);

	/**
	 * Reads what an engine has run since its start.
	 * @param address the engine's host and port
	 * @return the totals by account, or an error if the engine cannot be reached
	 */
	Publisher<EngineUsage> usage(String address);

	/**
	 * Cancels a request.
	 * @param address the engine's host and port
	 * @param key request id and attempt
	 * @return completes when the engine has confirmed, or fails
	 */
	Publisher<Boolean> cancel(String address, String key);

	/**
	 * Gives an order to the engine.
	 * @param address the engine's host and port
	 * @param fence the fence number
	 * @param order the order as JSON
	 * @return completes when the engine has confirmed, or fails
	 */
	Publisher<Boolean> order(String address, long fence, String order);

	/**
	 * A request to an engine.
	 *
	 * @param requestId the request
	 * @param attempt the attempt
	 * @param priority higher runs first
	 * @param fence the fence number of the grant
	 * @param resumeFrom the number of answer tokens to skip, 0 for the whole answer
	 * @param account what the request is charged to
	 * @param segment the part of the prompt that the engine takes, null for all of it
	 * @param traceParent the parent span in header form, empty for none
	 * @param body the caller's body
	 */
	record EngineCall(String requestId, int attempt, int priority, long fence, long resumeFrom, String account,
			Segment segment, String traceParent, byte[] body) {

		/**
		 * Returns the call for a part of the prompt.
		 * @param newSegment the part
		 * @return the call
		 */
		public EngineCall withSegment(Segment newSegment) {
			return new EngineCall(this.requestId, this.attempt, this.priority, this.fence, this.resumeFrom,
					this.account, newSegment, this.traceParent, this.body);
		}

	}

	/**
	 * A part of a prompt that is larger than one engine's memory.
	 *
	 * @param kvTokens the reserved size of the KV cache in tokens
	 * @param imports where the engine fetches the parts before this one, separated by
	 * commas
	 */
	record Segment(long kvTokens, String imports) {

		/**
		 * Returns where an engine exports the part that it holds.
		 * @param address the engine's host and port
		 * @param key request id and attempt
		 * @return host, port and path
		 */
		public static String export(String address, String key) {
			return address + "/kv/export/" + key;
		}

	}

	/**
	 * A piece of an answer, or its end.
	 *
	 * @param request the request that is answered
	 * @param attempt the attempt that is answered
	 * @param position the number of tokens before the piece
	 * @param tokens the number of tokens in the piece
	 * @param text the text
	 * @param finish why the answer ended, null if it goes on
	 * @param promptTokens the prompt tokens used, in the last piece only
	 * @param answerTokens the answer tokens used, in the last piece only
	 */
	record EngineEvent(String request, int attempt, long position, int tokens, String text, String finish,
			long promptTokens, long answerTokens) {
	}

	/**
	 * What an engine has run since its start.
	 *
	 * @param bootId the start
	 * @param accounts the totals by account
	 */
	record EngineUsage(String bootId, List<AccountTotals> accounts) {
	}

	/**
	 * What an engine has run for an account.
	 *
	 * @param account the account that calls named
	 * @param requests the number of answers
	 * @param promptTokens their prompt tokens
	 * @param answerTokens their answer tokens
	 */
	record AccountTotals(String account, long requests, long promptTokens, long answerTokens) {
	}

}
