package org.poplarloom.core.request;

/**
 * What routing needs to know of a request body.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param model the model asked for
 * @param isStream whether the caller wants server-sent events
 * @param answerTokens the longest answer in tokens
 * @param promptTokens the estimated prompt length in tokens
 * @param prefixHash the hash of the leading block, 0 if the prompt is shorter
 */
public record PromptShape(String model, boolean isStream, long answerTokens, long promptTokens, long prefixHash) {
}
