package org.poplarloom.entry.request;

import java.nio.charset.StandardCharsets;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests for {@link Fingerprint}: callers that are taken for one another when they return,
 * or are not recognized.
 */
public class FingerprintTests {

	private static final byte[] BODY = "{}".getBytes(StandardCharsets.UTF_8);

	@Test
	public void sameRequestHasTheSameFingerprint() {
		Assert.assertEquals(Fingerprint.of("/chat", "k1", BODY.clone()), Fingerprint.of("/chat", "k1", BODY));
	}

	@Test
	public void pathKeyAndBodyCount() {
		long fingerprint = Fingerprint.of("/chat", "k1", BODY);
		Assert.assertNotEquals(Fingerprint.of("/chat?a", "k1", BODY), fingerprint);
		Assert.assertNotEquals(Fingerprint.of("/chat", "k2", BODY), fingerprint);
		Assert.assertNotEquals(Fingerprint.of("/chat", null, BODY), fingerprint);
		Assert.assertNotEquals(Fingerprint.of("/chat", "k1", new byte[0]), fingerprint);
	}

}
