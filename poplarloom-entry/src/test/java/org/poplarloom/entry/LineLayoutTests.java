package org.poplarloom.entry;

import java.util.Map;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.PatternLayout;
import ch.qos.logback.classic.spi.LoggingEvent;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Compares lines of the log with those of the pattern that the layout stands for. Guards
 * against tools that read the log no longer finding their fields.
 */
public class LineLayoutTests {

	private static final String PATTERN = "%d{HH:mm:ss.SSS} %-5level %logger{24} %X{request} - %msg%n";

	private static final long MILLIS = 1_700_000_003_007L;

	private final LoggerContext context = new LoggerContext();

	@DataProvider
	public static Object[][] events() {
		return new Object[][] { { Level.INFO, "org.poplarloom.entry.process.RelayDaemon", Map.of(), null },
				{ Level.ERROR, "io.netty", Map.of("request", "r-1"), null }, { Level.WARN, "Short", Map.of(), null },
				{ Level.ERROR, "org.poplarloom.entry.process.Node", Map.of(),
						new IllegalStateException("outer", new IllegalArgumentException("inner")) } };
	}

	@Test(dataProvider = "events")
	public void writesTheSameLineAsThePattern(Level level, String logger, Map<String, String> values,
			Throwable failure) {
		LoggingEvent event = new LoggingEvent(LineLayoutTests.class.getName(), this.context.getLogger(logger), level,
				"event=started instance={}", failure, new Object[] { "edge-1" });
		event.setTimeStamp(MILLIS);
		event.setMDCPropertyMap(values);
		Assert.assertEquals(lineOf(event), patternLineOf(event));
	}

	private String lineOf(LoggingEvent event) {
		LineLayout layout = new LineLayout();
		layout.setContext(this.context);
		layout.start();
		return layout.doLayout(event);
	}

	private String patternLineOf(LoggingEvent event) {
		PatternLayout layout = new PatternLayout();
		layout.setContext(this.context);
		layout.setPattern(PATTERN);
		layout.start();
		return layout.doLayout(event);
	}

}
