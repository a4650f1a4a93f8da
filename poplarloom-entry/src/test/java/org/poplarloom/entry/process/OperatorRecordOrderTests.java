package org.poplarloom.entry.process;

import java.nio.charset.StandardCharsets;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.core.process.TablePosition;
import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.port.KeyedTablePort.Entry;

/**
 * Tests for {@link OperatorRecordOrder}.
 */
public class OperatorRecordOrderTests {

	private static final String TOMBSTONE = "";

	private static final String CONFIGURATION = ConfigurationFormat.CONFIGURATION_KEY;

	private static final String EVACUATION = ConfigurationFormat.EVACUATION_KEY_PREFIX + "norte-a";

	private static String configuration(int version) {
		return CallerStandIn.configuration(version, "model", "app");
	}

	@DataProvider
	public static Object[][] records() {
		return new Object[][] { { CONFIGURATION, configuration(3), configuration(4), true },
				{ CONFIGURATION, configuration(4), configuration(4), false },
				{ CONFIGURATION, configuration(5), configuration(4), false },
				{ CONFIGURATION, "{", configuration(4), true }, { CONFIGURATION, configuration(5), "{", false },
				{ EVACUATION, "{}", "{}", false }, { EVACUATION, "{}", TOMBSTONE, true } };
	}

	@Test(dataProvider = "records")
	public void ordersByVersionAndKeepsWhatIsKnownOfAnEvacuation(String key, String restored, String known,
			boolean isOutdated) {
		Assert.assertEquals(new OperatorRecordOrder().isOutdated(entry(key, restored, 2), entry(key, known, 1)),
				isOutdated);
	}

	private static Entry entry(String key, String value, long era) {
		return new Entry(key, value.getBytes(StandardCharsets.UTF_8), TablePosition.of(era, 1));
	}

}
