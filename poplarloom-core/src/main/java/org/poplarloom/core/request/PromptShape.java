package org.poplarloom.core.request;

/**
 * The properties of a chat request body that routing needs.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param model the requested model
 * @param isStream whether the caller requests the answer as server-sent events
 * @param answerTokens the maximum answer length in tokens
 * @param promptTokens the estimated prompt length in tokens
 * @param prefixHash the hash of the prompt's leading block, 0 if the prompt is shorter
 * than the block
 */
public record PromptShape(String model, boolean isStream, long answerTokens, long promptTokens, long prefixHash) {
}
