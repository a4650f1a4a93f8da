package org.poplarloom.entry.relay;

import java.io.IOException;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Tests of configurations that change while callers keep their connections open.
 * <p>
 * A value that is kept with a connection would outlive its version for as long as the
 * caller uses the connection.
 */
public class RelayChangedConfigurationTests extends RelayFixture {

	private static final String BODY_BYTES = "\"maxBodyBytes\":100000";

	private static final String HEADER_BYTES = "\"maxHeaderBytes\":16384";

	private static final String IDLE_TIMEOUT = "\"idleTimeoutMs\":15000";

	private static final String HEADER_TIMEOUT = "\"headerTimeoutMs\":3000";

	private static final int LARGE = 5_000;

	/** Fails a test whose connection is neither answered nor closed. */
	private static final long MAX_TEST_MILLIS = 20_000;

	private static String configuration(int version) {
		return CallerStandIn.configuration(version, "model", "app");
	}

	// A route that only the new version has shows that it is in force.
	private void changeAndAwait(String configuration) {
		this.store.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY,
				configuration.replace("/once/", "/changed/"));
		await(() -> !List.of(0, 404).contains(statusOnNewConnection(head("/changed/x", "", 0))));
	}

	private static String head(String path, String headers, int bodyBytes) {
		return "POST " + path + " HTTP/1.1\r\nHost: loom.example\r\nRequest-Id: r1\r\nKey: k1\r\n" + headers
				+ "Content-Length: " + bodyBytes + "\r\n\r\n";
	}

	private static int status(CallerStandIn caller) throws IOException {
		String line = caller.readUntil("\r\n\r\n");
		return line.startsWith("HTTP/1.1 ") ? Integer.parseInt(line.substring(9, 12)) : 0;
	}

	private int statusOnNewConnection(String request) {
		try (CallerStandIn caller = new CallerStandIn(this.callerAddress)) {
			caller.write(request);
			return status(caller);
		}
		catch (IOException ex) {
			return 0;
		}
	}

	private CallerStandIn openConnection() throws IOException {
		CallerStandIn caller = new CallerStandIn(this.callerAddress);
		caller.write(head("/again/x", "", 0));
		Assert.assertTrue(caller.readUntil("\r\n\r\nok").startsWith("HTTP/1.1 200"));
		return caller;
	}

	@DataProvider
	public static Object[][] settings() {
		String large = head("/again/x", "", LARGE);
		String longHeader = head("/again/x", "X-Long: " + "a".repeat(LARGE) + "\r\n", 0);
		String small = head("/again/x", "", 0);
		return new Object[][] { { BODY_BYTES, "\"maxBodyBytes\":2000", large, 413 },
				{ "\"maxBodyBytes\":2000", BODY_BYTES, large + "x".repeat(LARGE), 200 },
				{ HEADER_BYTES, "\"maxHeaderBytes\":1000", longHeader, 431 },
				{ "\"maxHeaderBytes\":1000", HEADER_BYTES, longHeader, 200 },
				{ "\"service\":\"app\"", "\"service\":\"none\"", small, 503 }, { "[\"k1\"]", "[\"k2\"]", small, 401 },
				{ "\"/again/\"", "\"/other/\"", small, 404 },
				{ "\"timeoutMs\":2000", "\"timeoutMs\":300", head("/again/slow", "", 0), 504 } };
	}

	/**
	 * Guards against settings of an older version that apply to connections which were
	 * open when it was replaced.
	 */
	@Test(dataProvider = "settings", timeOut = MAX_TEST_MILLIS)
	public void aChangedSettingAppliesToOpenConnections(String before, String after, String request, int status)
			throws IOException {
		this.firstWorker.respondWith((received, out) -> {
			if (received.requestLine().contains("/slow")) {
				pause(1_000);
			}
			WorkerStandIn.ANSWER_OF_EACH_KIND.answer(received, out);
		});
		String standard = configuration(3);
		publish(standard.contains(before) ? standard : standard.replace(after, before), "app", "ready");
		try (CallerStandIn open = openConnection()) {
			String changed = configuration(5);
			changeAndAwait(changed.contains(before) ? changed.replace(before, after) : changed);
			open.write(request);
			Assert.assertEquals(status(open), status);
			Assert.assertEquals(statusOnNewConnection(request), status);
		}
	}

	/**
	 * Guards against idle connections that are closed after the time of an older version.
	 */
	@Test(timeOut = MAX_TEST_MILLIS)
	public void aLongerIdleTimeoutAppliesToOpenConnections() throws IOException {
		publish(configuration(3).replace(IDLE_TIMEOUT, "\"idleTimeoutMs\":2500"), "app", "ready");
		try (CallerStandIn open = openConnection()) {
			changeAndAwait(configuration(5));
			pause(2_500);
			open.write(head("/again/x", "", 0));
			Assert.assertEquals(status(open), 200);
		}
	}

	/**
	 * Guards against idle connections that stay open for the time of an older version.
	 */
	@Test(timeOut = MAX_TEST_MILLIS)
	public void aShorterIdleTimeoutAppliesToOpenConnections() throws IOException {
		publish(configuration(3), "app", "ready");
		try (CallerStandIn open = openConnection()) {
			changeAndAwait(configuration(5).replace(IDLE_TIMEOUT, "\"idleTimeoutMs\":500"));
			long startNanos = System.nanoTime();
			Assert.assertEquals(open.readUntil("HTTP"), "");
			Assert.assertTrue(System.nanoTime() - startNanos < 5_000_000_000L);
		}
	}

	/**
	 * Guards against unfinished requests that are kept for the time of an older version.
	 */
	@Test(timeOut = MAX_TEST_MILLIS)
	public void aShorterTimeoutForRequestsAppliesToOpenConnections() throws IOException {
		publish(configuration(3), "app", "ready");
		try (CallerStandIn open = openConnection()) {
			changeAndAwait(configuration(5).replace(IDLE_TIMEOUT, "\"idleTimeoutMs\":3000")
				.replace(HEADER_TIMEOUT, "\"headerTimeoutMs\":100"));
			long startNanos = System.nanoTime();
			open.write(head("/again/x", "", 10));
			Assert.assertEquals(status(open), 408);
			Assert.assertTrue(System.nanoTime() - startNanos < 6_000_000_000L);
		}
	}

}
