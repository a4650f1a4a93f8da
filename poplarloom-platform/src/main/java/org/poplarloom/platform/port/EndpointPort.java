package org.poplarloom.platform.port;

import org.reactivestreams.Publisher;

import org.poplarloom.core.process.EndpointReport;

/**
 * A model engine.
 * <p>
 * Implementations are thread-safe.
 */
public interface EndpointPort {

	/**
	 * Reads the load report.
	 * @param address the engine's host and port
	 * @return the report, or an error if the engine cannot be reached
	 */
	Publisher<EndpointReport> report(String address);

	/**
	 * Runs a request and streams its answer.
	 * @param address the engine's host and port
	 * @param call the request
	 * @return the pieces, or an error with code {@code endpoint_failed}; cancelling the
	 * subscription closes the stream
	 */
	Publisher<EngineEvent> generate(String address, EngineCall call);

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
	 * @param body the caller's body
	 */
	record EngineCall(String requestId, int attempt, int priority, long fence, long resumeFrom, byte[] body) {
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

}
