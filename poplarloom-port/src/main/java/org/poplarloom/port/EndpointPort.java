package org.poplarloom.port;

import java.util.List;

import org.reactivestreams.Publisher;

/**
 * Access to model engines.
 * <p>
 * Implementations are thread-safe.
 */
public interface EndpointPort extends ReportPort {

	/**
	 * Runs a request and streams its answer.
	 * @param address the engine's host and port
	 * @param call the request
	 * @return the chunks of the answer, or an error with code {@code endpoint_failed};
	 * cancelling the subscription closes the connection
	 */
	Publisher<EngineEvent> generate(String address, EngineCall call);

	/**
	 * Prefills a segment of a prompt. The engine keeps its KV cache until the request is
	 * cancelled.
	 * @param address the engine's host and port
	 * @param call the request with its segment
	 * @return true when the segment is prefilled, or an error with code
	 * {@code endpoint_failed}
	 */
	Publisher<Boolean> prefill(String address, EngineCall call);

	/**
	 * Reads the usage that an engine has counted since its start.
	 * @param address the engine's host and port
	 * @return the totals by account, or an error if the engine cannot be reached
	 */
	Publisher<EngineUsage> usage(String address);

	/**
	 * Cancels a request.
	 * @param address the engine's host and port
	 * @param key the key of the request's grant (request id and attempt)
	 * @return true when the engine has confirmed the cancellation, or an error
	 */
	Publisher<Boolean> cancel(String address, String key);

	/**
	 * Sends a command to an engine, which refuses it if the fencing token is stale.
	 * @param address the engine's host and port
	 * @param fencingToken the sender's fencing token
	 * @param command the command as JSON
	 * @return true when the engine has confirmed the command, or an error
	 */
	Publisher<Boolean> sendCommand(String address, long fencingToken, String command);

	/**
	 * A request to an engine.
	 *
	 * @param requestId the id of the request
	 * @param attempt the number of the attempt
	 * @param priority the scheduling priority; higher runs first
	 * @param fencingToken the fencing token of the grant
	 * @param resumeFrom the number of answer tokens that are not sent again, 0 for the
	 * complete answer
	 * @param account the account that the request is charged to
	 * @param segment the segment of the prompt that this engine prefills, null if it
	 * prefills the complete prompt
	 * @param traceParent the parent span as the value of a {@code traceparent} header,
	 * empty for none
	 * @param body the body of the caller's request
	 */
	record EngineCall(String requestId, int attempt, int priority, long fencingToken, long resumeFrom, String account,
			Segment segment, String traceParent, byte[] body) {

		/**
		 * Returns this call for a segment of the prompt.
		 * @param newSegment the segment
		 * @return the call
		 */
		public EngineCall withSegment(Segment newSegment) {
			return new EngineCall(this.requestId, this.attempt, this.priority, this.fencingToken, this.resumeFrom,
					this.account, newSegment, this.traceParent, this.body);
		}

	}

	/**
	 * A segment of a prompt whose KV cache does not fit into one engine's memory.
	 *
	 * @param kvTokens the size reserved in the KV cache, in tokens
	 * @param imports host, port and path from which the engine fetches the KV cache of
	 * each earlier segment, separated by commas
	 */
	record Segment(long kvTokens, String imports) {

		/**
		 * Returns where an engine exports the KV cache of its segment.
		 * @param address the engine's host and port
		 * @param key the key of the request's grant (request id and attempt)
		 * @return host, port and path
		 */
		public static String exportAddress(String address, String key) {
			return address + "/kv/export/" + key;
		}

	}

	/**
	 * A chunk of a streamed answer, as an engine sends it in one event.
	 *
	 * @param requestId the id of the request that is answered
	 * @param attempt the number of the attempt that is answered
	 * @param position the number of tokens before the chunk
	 * @param tokens the number of tokens in the chunk
	 * @param text the text
	 * @param finishReason why the answer ended, null if more chunks follow
	 * @param promptTokens the number of prompt tokens used, in the last chunk only
	 * @param answerTokens the number of answer tokens used, in the last chunk only
	 */
	record EngineEvent(String requestId, int attempt, long position, int tokens, String text, String finishReason,
			long promptTokens, long answerTokens) {
	}

	/**
	 * The usage that an engine has counted since its start.
	 *
	 * @param bootId identifies the engine's start
	 * @param accounts the totals by account
	 */
	record EngineUsage(String bootId, List<AccountTotals> accounts) {
	}

	/**
	 * The usage of one account at an engine since the engine's start.
	 *
	 * @param account the account that the calls named
	 * @param requests the number of answered requests
	 * @param promptTokens the number of their prompt tokens
	 * @param answerTokens the number of their answer tokens
	 */
	record AccountTotals(String account, long requests, long promptTokens, long answerTokens) {
	}

}
