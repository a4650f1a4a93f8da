package org.poplarloom.entry.request;

import org.poplarloom.core.request.PromptShape;
import org.poplarloom.core.version.Contract;

/**
 * A chat request of an authenticated caller.
 * <p>
 * This class is immutable and thread-safe as long as nobody changes the body's bytes.
 *
 * @param id the request's ID, unique in the system
 * @param contract the team's contract
 * @param shape the parsed values that routing needs
 * @param body the caller's body, passed on to the engine
 * @param fingerprint the hash of the body, by which crashes are counted
 * @param deadlineMillis when the request must have ended, in milliseconds since the epoch
 * @param traceParent the caller's {@code traceparent} header, empty for none
 */
public record ChatRequest(String id, Contract contract, PromptShape shape, byte[] body, String fingerprint,
		long deadlineMillis, String traceParent) {

	long admittedTokens() {
		return this.shape.promptTokens() + this.shape.answerTokens();
	}

}
