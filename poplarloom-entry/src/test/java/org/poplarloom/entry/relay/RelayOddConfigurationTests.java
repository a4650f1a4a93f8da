package org.poplarloom.entry.relay;

import java.io.IOException;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;

/**
 * Tests of an instance that reads a configuration with an odd part.
 */
public class RelayOddConfigurationTests extends RelayFixture {

	private static final String SOUND = CallerStandIn.configuration(3, "model", "app");

	@DataProvider
	public static Object[][] oddConfigurations() {
		return new Object[][] { { "\"routes\":[", "\"routes\":[{\"name\":\"r\",\"pathPrefix\":\"/odd/\"}," },
				{ "\"routes\":[", "\"routes\":[7,null,[[]]," },
				{ "\"services\":[", "\"services\":[{\"name\":\"odd\",\"engine\":{\"read_per_s\":-1}}," },
				{ "\"services\":[",
						"\"services\":[{\"name\":\"odd\",\"engine\":{\"read_per_s\":1,\"step_ms\":1e999}}," },
				{ "\"tenants\":[", "\"tenants\":[{\"name\":\"a\\r\\nX: y\",\"apiKeys\":[\"k2\"]}," },
				{ "\"tenants\":[", "\"tenants\":[{\"apiKeys\":[\"k2\"]}," },
				{ "\"maxBodyBytes\":100000", "\"maxBodyBytes\":-1" },
				{ "\"idleTimeoutMs\":15000", "\"idleTimeoutMs\":9223372036854775808" } };
	}

	/**
	 * Guards against one odd entry of a configuration that costs all of it.
	 */
	@Test(dataProvider = "oddConfigurations")
	public void anOddEntryOfAConfigurationCostsOnlyItself(String found, String replacement) {
		Assert.assertTrue(SOUND.contains(found), found);
		publish(SOUND.replace(found, replacement), "app", "ready");
		Assert.assertTrue(exchange("POST /once/x", "r1", "{}").startsWith("HTTP/1.1 200"));
		Assert.assertFalse(metrics().contains("configuration_findings 0"), metrics());
		restartDaemon();
		await(() -> exchange("POST /once/x", "r2", "{}").startsWith("HTTP/1.1 200"));
	}

	private static List<String> unreadableConfigurations() {
		return List.of("7", "[]", SOUND + SOUND, "{\"routes\":[]}", "{\"version\":\"9\",\"routes\":[]}",
				"{\"version\":1e999}", "{\"version\":9,\"routes\":7}", "{\"version\":9,\"tenants\":\"rota\"}",
				"{\"version\":9,\"routes\":" + "[".repeat(100_000) + "]".repeat(100_000) + "}");
	}

	/**
	 * Guards against an unreadable configuration that replaces the one in force, and
	 * against one that nobody notices.
	 */
	@Test
	public void anUnreadableConfigurationKeepsTheOneBeforeAndIsCounted() {
		publish(SOUND, "app", "ready");
		Assert.assertTrue(metrics().contains("configuration_unreadable 0"), metrics());
		int count = 0;
		for (String configuration : unreadableConfigurations()) {
			count++;
			this.store.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY, configuration);
			String expected = "configuration_unreadable " + count;
			await(() -> metrics().contains(expected));
			Assert.assertTrue(exchange("POST /once/x", "r" + count, "{}").startsWith("HTTP/1.1 200"));
		}
		this.store.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY,
				CallerStandIn.configuration(10, "model", "other"));
		await(() -> !exchange("POST /once/x", "next", "{}").startsWith("HTTP/1.1 200"));
	}

	@DataProvider
	public static Object[][] names() {
		return new Object[][] { { "rota" }, { "Brindley Garden Supply" }, { "ROTA" }, { "x" },
				{ "Gr\u00f6\u00dfe & S\u00f6hne" }, { "\u30ea\u30ec\u30fc \u4e16\u754c" }, { "a".repeat(200) },
				{ "{\\\"a\\\"}" } };
	}

	/**
	 * Guards against a team whose name has the caller's own form and that costs the whole
	 * configuration, or arrives at endpoints in another form.
	 */
	@Test(dataProvider = "names")
	public void theNameOfATeamReachesEndpointsAsItIsWritten(String name) {
		publish(SOUND.replace("\"rota\"", "\"" + name + "\""), "app", "ready");
		Assert.assertTrue(exchange("POST /once/x", "r1", "{}").startsWith("HTTP/1.1 200"));
		Assert.assertEquals(this.firstWorker.received().get(this.firstWorker.received().size() - 1).header("Tenant"),
				name.replace("\\\"", "\""));
	}

	/**
	 * Guards against a configuration that names no teams any more, so that no key is
	 * good, and is read as if no key were needed.
	 */
	@Test
	public void withAnEmptyListOfTeamsNoKeyIsGood() {
		publish(SOUND, "app", "ready");
		int version = 10;
		for (String tenants : List.of("[]", "[7]", "[{\"name\":\"rota\",\"apiKeys\":[]}]")) {
			String configuration = CallerStandIn.configuration(version++, "model", "app");
			this.store.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY,
					configuration.substring(0, configuration.indexOf("\"tenants\"")) + "\"tenants\":" + tenants + "}");
			await(() -> exchange("POST /once/x", "r1", "{}").startsWith("HTTP/1.1 401"));
			this.store.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY,
					CallerStandIn.configuration(version++, "model", "app"));
			await(() -> exchange("POST /once/x", "r2", "{}").startsWith("HTTP/1.1 200"));
		}
	}

	/** Guards against a key that is needed although no configuration has named teams. */
	@Test
	public void withoutTeamsNoKeyIsNeeded() throws IOException {
		publish(SOUND.substring(0, SOUND.indexOf(",\"tenants\"")) + "}", "app", "ready");
		try (CallerStandIn caller = new CallerStandIn(this.callerAddress)) {
			caller.write("GET /again/x HTTP/1.1\r\nHost: loom.example\r\nRequest-Id: r1\r\nConnection: close\r\n\r\n");
			Assert.assertTrue(caller.readAll().startsWith("HTTP/1.1 200"));
		}
	}

}
