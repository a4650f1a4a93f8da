package org.poplarloom.core.request;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.request.AnswerSequence.Verdict;

/**
 * Tests for {@link AnswerSequence}.
 * <p>
 * Guard against answers with repeated, foreign or missing tokens: endpoints may send
 * chunks twice, and chunks of a failed attempt may arrive while a later one is running.
 */
public class AnswerSequenceTests {

	private static AnswerChunk chunk(String request, int attempt, long position, String finish) {
		return new AnswerChunk(request, attempt, position, (finish != null) ? 0 : 1, "w", finish);
	}

	@Test
	public void repeatedOrForeignChunkIsDroppedAndSkippedPositionIsAGap() {
		AnswerSequence sequence = AnswerSequence.of("r", 2, 0);
		Assert.assertEquals(sequence.accept(chunk("r", 2, 0, null)), Verdict.DELIVER);
		Assert.assertEquals(sequence.accept(chunk("r", 2, 0, null)), Verdict.DROP);
		Assert.assertEquals(sequence.accept(chunk("r", 1, 1, null)), Verdict.DROP);
		Assert.assertEquals(sequence.accept(chunk("q", 2, 1, null)), Verdict.DROP);
		Assert.assertEquals(sequence.accept(chunk("r", 2, 2, null)), Verdict.GAP);
		Assert.assertEquals(sequence.accept(chunk("r", 2, 1, null)), Verdict.DELIVER);
		Assert.assertEquals(sequence.accept(chunk("r", 2, 2, "stop")), Verdict.DELIVER);
		Assert.assertTrue(sequence.isEnded());
		Assert.assertEquals(sequence.accept(chunk("r", 2, 2, null)), Verdict.DROP);
	}

	@Test
	public void laterAttemptContinuesAfterTheDeliveredTokens() {
		AnswerSequence sequence = AnswerSequence.of("r", 2, 7);
		Assert.assertEquals(sequence.accept(chunk("r", 2, 6, null)), Verdict.DROP);
		Assert.assertEquals(sequence.accept(chunk("r", 2, 7, null)), Verdict.DELIVER);
	}

}
