package org.poplarloom.entry.process;

import java.nio.charset.StandardCharsets;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.core.process.TablePosition;
import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;
import org.poplarloom.port.KeyedTablePort.Entry;

/**
 * Tests for {@link OperatorRecordOrder} and {@link EndpointRecordOrder}.
 */
public class RecordOrderTests {

	private static final String CONFIGURATION = ConfigurationFormat.CONFIGURATION_KEY;

	private static final String EVACUATION = ConfigurationFormat.EVACUATION_KEY_PREFIX + "norte-a";

	private static final String ENDPOINT = "i-1";

	private static final String TOMBSTONE = "";

	private static String configuration(int version) {
		return CallerStandIn.configuration(version, "model", "app");
	}

	private static String endpoint(String state, long lifetime, int sequence) {
		return WorkerStandIn.entry("model", "norte-a", state, "10.1.0.1:80", lifetime, sequence);
	}

	@DataProvider
	public static Object[][] operatorRecords() {
		return new Object[][] { { CONFIGURATION, configuration(3), configuration(4), true },
				{ CONFIGURATION, configuration(4), configuration(4), false },
				{ CONFIGURATION, configuration(5), configuration(4), false },
				{ CONFIGURATION, "{", configuration(4), true }, { CONFIGURATION, configuration(5), "{", false },
				{ EVACUATION, "{}", "{}", false }, { EVACUATION, "{}", TOMBSTONE, true } };
	}

	@DataProvider
	public static Object[][] endpointRecords() {
		return new Object[][] { { ENDPOINT, endpoint("ready", 10, 3), endpoint("ready", 10, 4), true },
				{ ENDPOINT, endpoint("ready", 10, 4), endpoint("ready", 10, 4), false },
				{ ENDPOINT, endpoint("draining", 10, 5), endpoint("ready", 10, 4), false },
				{ ENDPOINT, endpoint("ready", 10, 9), endpoint("draining", 10, 4), true },
				{ ENDPOINT, endpoint("ready", 9, 9), endpoint("ready", 10, 4), true },
				{ ENDPOINT, endpoint("ready", 11, 1), endpoint("draining", 10, 4), false },
				{ ENDPOINT, endpoint("ready", 10, 4), TOMBSTONE, true },
				{ ENDPOINT, "[]", endpoint("ready", 10, 4), true },
				{ ENDPOINT, endpoint("ready", 10, 4), "[]", false } };
	}

	@Test(dataProvider = "operatorRecords")
	public void operatorsRecordsAreOrderedByVersion(String key, String restored, String known, boolean isOutdated) {
		Assert.assertEquals(isOutdated(new OperatorRecordOrder(), key, restored, known), isOutdated);
	}

	@Test(dataProvider = "endpointRecords")
	public void endpointsEntriesAreOrderedByLifetimeAndSequence(String key, String restored, String known,
			boolean isOutdated) {
		Assert.assertEquals(isOutdated(new EndpointRecordOrder(), key, restored, known), isOutdated);
	}

	private static boolean isOutdated(RecordOrder order, String key, String restored, String known) {
		return order.isOutdated(new Entry(key, restored.getBytes(StandardCharsets.UTF_8), TablePosition.of(2, 1)),
				new Entry(key, known.getBytes(StandardCharsets.UTF_8), TablePosition.of(1, 1)));
	}

}
