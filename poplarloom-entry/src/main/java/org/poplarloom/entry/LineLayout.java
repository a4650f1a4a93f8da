package org.poplarloom.entry;

import java.util.TimeZone;

import ch.qos.logback.classic.pattern.Abbreviator;
import ch.qos.logback.classic.pattern.TargetLengthBasedClassNameAbbreviator;
import ch.qos.logback.classic.pattern.ThrowableProxyConverter;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.LayoutBase;

/**
 * Formats an event of the log as one line: time of day, level, shortened name of the
 * logger, request and message, followed by the stack trace if there is one.
 * <p>
 * The lines are those of the pattern
 * <code>%d{HH:mm:ss.SSS} %-5level %logger{24} %X{request} - %msg%n</code>. A pattern
 * layout would link some sixty converters at each start. This class is thread-safe.
 */
final class LineLayout extends LayoutBase<ILoggingEvent> {

	private static final int LOGGER_CHARACTERS = 24;

	private static final int LEVEL_CHARACTERS = 5;

	private static final int LINE_CHARACTERS = 160;

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final long SECONDS_PER_MINUTE = 60;

	private static final long SECONDS_PER_HOUR = 3_600;

	private static final long SECONDS_PER_DAY = 86_400;

	private final Abbreviator names = new TargetLengthBasedClassNameAbbreviator(LOGGER_CHARACTERS);

	@Override
	public String doLayout(ILoggingEvent event) {
		StringBuilder line = new StringBuilder(LINE_CHARACTERS);
		appendTime(line, event.getTimeStamp());
		String level = event.getLevel().toString();
		line.append(' ').append(level).append(" ".repeat(LEVEL_CHARACTERS - level.length())).append(' ');
		line.append(this.names.abbreviate(event.getLoggerName())).append(' ');
		line.append(event.getMDCPropertyMap().getOrDefault("request", "")).append(" - ");
		line.append(event.getFormattedMessage()).append(System.lineSeparator());
		if (event.getThrowableProxy() != null) {
			line.append(format(event));
		}
		return line.toString();
	}

	private static void appendTime(StringBuilder line, long epochMillis) {
		long local = epochMillis + TimeZone.getDefault().getOffset(epochMillis);
		long seconds = Math.floorMod(Math.floorDiv(local, MILLIS_PER_SECOND), SECONDS_PER_DAY);
		appendNumber(line, seconds / SECONDS_PER_HOUR, 2).append(':');
		appendNumber(line, seconds % SECONDS_PER_HOUR / SECONDS_PER_MINUTE, 2).append(':');
		appendNumber(line, seconds % SECONDS_PER_MINUTE, 2).append('.');
		appendNumber(line, Math.floorMod(local, MILLIS_PER_SECOND), 3);
	}

	private static StringBuilder appendNumber(StringBuilder line, long number, int digits) {
		String text = Long.toString(number);
		return line.append("0".repeat(digits - text.length())).append(text);
	}

	private String format(ILoggingEvent event) {
		ThrowableProxyConverter converter = new ThrowableProxyConverter();
		converter.setContext(getContext());
		converter.start();
		return converter.convert(event);
	}

}
