package org.poplarloom.entry.process;

import java.nio.charset.StandardCharsets;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.core.process.TablePosition;
import org.poplarloom.platform.standin.WorkerStandIn;
import org.poplarloom.port.KeyedTablePort.Entry;

/**
 * Tests for {@link EndpointRecordOrder}.
 */
public class EndpointRecordOrderTests {

	private static final String TOMBSTONE = "";

	private static String endpoint(String state, long lifetime, int sequence) {
		return WorkerStandIn.entry("model", "norte-a", state, "10.1.0.1:80", lifetime, sequence);
	}

	@DataProvider
	public static Object[][] records() {
		return new Object[][] { { endpoint("ready", 10, 3), endpoint("ready", 10, 4), true },
				{ endpoint("ready", 10, 4), endpoint("ready", 10, 4), false },
				{ endpoint("draining", 10, 5), endpoint("ready", 10, 4), false },
				{ endpoint("ready", 10, 9), endpoint("draining", 10, 4), true },
				{ endpoint("ready", 9, 9), endpoint("ready", 10, 4), true },
				{ endpoint("ready", 11, 1), endpoint("draining", 10, 4), false },
				{ endpoint("ready", 10, 4), TOMBSTONE, true }, { "[]", endpoint("ready", 10, 4), true },
				{ endpoint("ready", 10, 4), "[]", false } };
	}

	@Test(dataProvider = "records")
	public void ordersByLifetimeAndSequenceAndKeepsDrainingEndpoints(String restored, String known,
			boolean isOutdated) {
		Assert.assertEquals(new EndpointRecordOrder().isOutdated(entry("i-1", restored, 2), entry("i-1", known, 1)),
				isOutdated);
	}

	private static Entry entry(String key, String value, long era) {
		return new Entry(key, value.getBytes(StandardCharsets.UTF_8), TablePosition.of(era, 1));
	}

}
