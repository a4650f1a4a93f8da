package org.poplarloom.core.request;

import java.nio.charset.StandardCharsets;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;

/**
 * Tests for {@link PromptScanner}.
 * <p>
 * Guard against requests that are routed by a wrong model, length or prefix, and against
 * invalid bodies that end in an internal error.
 */
public class PromptScannerTests {

	private static final int FUZZ_ROUNDS = 20_000;

	private static PromptShape scan(String body) {
		return PromptScanner.scan(body.getBytes(StandardCharsets.UTF_8));
	}

	private static String body(String content) {
		return "{\"messages\":[{\"role\":\"user\",\"content\":\"" + content
				+ "\"}],\"stream\":true,\"max_tokens\":7,\"model\":\"m\",\"temperature\":0.5,\"user\":{\"a\":[1]}}";
	}

	@Test
	public void validBodyYieldsItsShape() {
		PromptShape shape = scan(body("x".repeat(40_000)));
		Assert.assertEquals(shape.model(), "m");
		Assert.assertTrue(shape.isStream());
		Assert.assertEquals(shape.answerTokens(), 7);
		Assert.assertEquals(shape.promptTokens(), 10_000, 10);
		Assert.assertNotEquals(shape.prefixHash(), 0);
	}

	@Test
	public void samePrefixYieldsTheSameHash() {
		String prefix = "p".repeat(8_000);
		Assert.assertEquals(scan(body(prefix + "one")).prefixHash(), scan(body(prefix + "two")).prefixHash());
		Assert.assertNotEquals(scan(body(prefix)).prefixHash(), scan(body("q" + prefix)).prefixHash());
	}

	@Test
	public void bodyWithSeveralErrorsReportsAllOfThem() {
		PoplarloomException exception = Assert.expectThrows(PoplarloomException.class,
				() -> scan("{\"stream\":1,\"max_tokens\":-2}"));
		Assert.assertEquals(exception.code(), ErrorCode.INVALID_REQUEST);
		Assert.assertEquals(exception.getMessage().lines().count(), 4);
	}

	@Test
	public void corruptedBodyIsRefusedOnlyAsInvalidRequest() {
		Random random = new Random(11);
		byte[] valid = body("a question").getBytes(StandardCharsets.UTF_8);
		for (int round = 0; round < FUZZ_ROUNDS; round++) {
			byte[] corrupted = valid.clone();
			for (int i = 0; i < 1 + random.nextInt(4); i++) {
				corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
			}
			byte[] truncated = java.util.Arrays.copyOf(corrupted, random.nextInt(corrupted.length + 1));
			try {
				PromptScanner.scan(truncated);
			}
			catch (PoplarloomException ex) {
				Assert.assertEquals(ex.code(), ErrorCode.INVALID_REQUEST);
			}
		}
	}

	@Test
	public void deeplyNestedBodyIsRefused() {
		Assert.assertThrows(PoplarloomException.class, () -> scan("{\"messages\":" + "[".repeat(100_000)));
	}

}
