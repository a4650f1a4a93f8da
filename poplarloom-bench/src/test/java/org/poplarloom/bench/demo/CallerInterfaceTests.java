package org.poplarloom.bench.demo;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.poplarloom.core.version.Documents;
import org.poplarloom.entry.process.Daemon;
import org.poplarloom.standin.engine.EngineSettings;
import org.poplarloom.standin.http.EngineStandIn;

/**
 * Tests of the callers' interface with invalid requests and requests that crash engines.
 * <p>
 * Guards against invalid or truncated input that causes server errors, delays other
 * requests or leaves grants held, and against a request that crashes one engine after
 * another because it is retried elsewhere.
 */
public class CallerInterfaceTests {

	private static final long SEED = 9;

	private static final int FUZZ_ROUNDS = 300;

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final Caller caller = new Caller();

	private LocalSystem system;

	@BeforeClass
	public void start() {
		EngineSettings engine = EngineSettings.DEFAULT.withColdStart(0, 64, 300);
		this.system = LocalSystem.start(LocalSystem.Layout.DEFAULT.withCountsPerZone(1, 2).withEngineSettings(engine),
				SampleContracts.withHighLimits());
	}

	@AfterClass(alwaysRun = true)
	public void stop() {
		this.system.close();
	}

	private Daemon daemon() {
		return this.system.daemons().get("gijon-entry-1");
	}

	private HttpResponse<String> post(String path, String key, byte[] body) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create(daemon().url() + path))
			.header("Authorization", "Bearer " + key)
			.header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofByteArray(body))
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	private void assertRefused(HttpResponse<String> response, int status, String code) {
		Assert.assertEquals(response.statusCode(), status, response.body());
		JsonNode body = Documents.read(response.body(), JsonNode.class);
		Assert.assertEquals(body.path("code").asText(), code);
		Assert.assertEquals(body.path("error").path("code").asText(), code);
		Assert.assertEquals(body.path("executed").asText(), "no");
	}

	@Test
	public void invalidRequestsAreRefusedWithCodeAndMarkedNotExecuted() throws Exception {
		byte[] request = Caller.chatRequestBody(100, 5, "question");
		String chat = "/v1/chat/completions";
		assertRefused(post(chat, "no-such-key", request), 401, "unauthorized");
		assertRefused(post(chat, SampleContracts.ROTA_KEY, "{".getBytes(StandardCharsets.UTF_8)), 400,
				"invalid_request");
		byte[] otherModel = new String(request, StandardCharsets.UTF_8).replace(LocalSystem.MODEL, "other")
			.getBytes(StandardCharsets.UTF_8);
		assertRefused(post(chat, SampleContracts.ROTA_KEY, otherModel), 403, "not_in_contract");
		assertRefused(post(chat, SampleContracts.ROTA_KEY, Caller.chatRequestBody(1_200_000, 5, "")), 413,
				"prompt_too_long");
		assertRefused(post(chat, SampleContracts.ROTA_KEY, new byte[17 * 1024 * 1024]), 413, "body_too_large");
		assertRefused(post("/v1/services/other/x", SampleContracts.ROTA_KEY, request), 403, "not_in_contract");
		assertRefused(post("/v1/services/rehandle/x", SampleContracts.ROTA_KEY, request), 400,
				"invalid_idempotency_key");
	}

	@Test
	public void requestCompletesWhileOtherConnectionsSendTruncatedBodies() throws Exception {
		URI uri = URI.create(daemon().url());
		List<Socket> sockets = new ArrayList<>();
		for (int i = 0; i < 50; i++) {
			Socket socket = new Socket(uri.getHost(), uri.getPort());
			OutputStream out = socket.getOutputStream();
			out.write(("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
					+ SampleContracts.ROTA_KEY + "\r\nContent-Length: 1000000\r\n\r\n{\"model\":")
				.getBytes(StandardCharsets.US_ASCII));
			out.flush();
			sockets.add(socket);
		}
		Caller.Answer answer = this.caller.sendChatRequest(daemon().url(), SampleContracts.ROTA_KEY,
				Caller.chatRequestBody(1_000, 5, "beside truncated ones"), 20_000);
		Assert.assertTrue(answer.isComplete(), answer.toString());
		for (Socket socket : sockets) {
			socket.close();
		}
	}

	@Test
	public void corruptedRequestsGetStatusBelow500AndLeaveNoGrantHeld() throws Exception {
		Random random = new Random(SEED);
		byte[] request = Caller.chatRequestBody(50, 3, "question");
		for (int round = 0; round < FUZZ_ROUNDS; round++) {
			byte[] corrupted = request.clone();
			for (int i = 0; i < 3; i++) {
				corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
			}
			int status = post("/v1/chat/completions", SampleContracts.ROTA_KEY, corrupted).statusCode();
			Assert.assertTrue(status == 200 || status >= 400 && status < 500, "seed " + SEED + " status " + status);
		}
		Assert.assertEquals(daemon().node().grantClient().heldCount(), 0);
	}

	@Test(dependsOnMethods = { "invalidRequestsAreRefusedWithCodeAndMarkedNotExecuted",
			"requestCompletesWhileOtherConnectionsSendTruncatedBodies",
			"corruptedRequestsGetStatusBelow500AndLeaveNoGrantHeld" })
	public void requestThatCrashesEnginesIsQuarantinedAfterAtMostTwoCrashes() {
		byte[] crashing = Caller.chatRequestBody(1_000, 5, EngineStandIn.CRASH_MARKER);
		int startsBefore = engineStarts();
		for (int round = 0; round < 4; round++) {
			for (String url : this.system.urls()) {
				Caller.Answer answer = this.caller.sendChatRequest(url, SampleContracts.BRINDLEY_KEY, crashing, 20_000);
				Assert.assertFalse(answer.isComplete(), answer.toString());
			}
		}
		Assert.assertTrue(engineStarts() - startsBefore <= 2, "crashes: " + (engineStarts() - startsBefore));
		for (String url : this.system.urls()) {
			Caller.Answer refused = this.caller.sendChatRequest(url, SampleContracts.BRINDLEY_KEY, crashing, 20_000);
			Assert.assertTrue(refused.error().contains("\"quarantined\""), refused.toString());
			Caller.Answer other = this.caller.sendChatRequest(url, SampleContracts.ROTA_KEY,
					Caller.chatRequestBody(1_000, 5, "innocent"), 20_000);
			Assert.assertTrue(other.isComplete(), other.toString());
		}
	}

	private int engineStarts() {
		return this.system.engines().values().stream().mapToInt(EngineStandIn::bootCount).sum();
	}

}
