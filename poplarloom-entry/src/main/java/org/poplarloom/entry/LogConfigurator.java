package org.poplarloom.entry;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import ch.qos.logback.core.spi.ContextAwareBase;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.Logger;

/**
 * Configures the log of the program: lines on standard output, written by a thread of
 * their own so that no caller waits for them.
 * <p>
 * Logback finds this class as a service. It does nothing unless {@link #useFormat} was
 * called, so other programs keep their own configuration. Code is used in place of a
 * configuration file because reading one takes a noticeable part of each start. This
 * class has no state and is thread-safe.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LogConfigurator extends ContextAwareBase implements Configurator {

	private static final String FORMAT_PROPERTY = "poplarloom.log.format";

	private static final String JSON = "json";

	/** Lines beyond it are dropped rather than delaying the caller. */
	private static final int QUEUED_LINES = 4_096;

	/**
	 * Selects the format of the lines; effective if called before the first logger is
	 * created.
	 * @param format {@code text} or {@code json}
	 */
	static void useFormat(String format) {
		System.setProperty(FORMAT_PROPERTY, format);
	}

	@Override
	public ExecutionStatus configure(LoggerContext context) {
		String format = System.getProperty(FORMAT_PROPERTY);
		if (format == null) {
			return ExecutionStatus.INVOKE_NEXT_IF_ANY;
		}
		ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
		console.setContext(context);
		console.setEncoder(encoder(context, format));
		console.start();
		AsyncAppender async = new AsyncAppender();
		async.setContext(context);
		async.setQueueSize(QUEUED_LINES);
		async.setNeverBlock(true);
		async.addAppender(console);
		async.start();
		context.getLogger("io.micronaut").setLevel(Level.WARN);
		context.getLogger("io.netty").setLevel(Level.WARN);
		ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.INFO);
		root.addAppender(async);
		return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
	}

	private static Encoder<ILoggingEvent> encoder(LoggerContext context, String format) {
		if (format.equals(JSON)) {
			LogstashEncoder encoder = new LogstashEncoder();
			encoder.setContext(context);
			encoder.start();
			return encoder;
		}
		LineLayout layout = new LineLayout();
		layout.setContext(context);
		layout.start();
		LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
		encoder.setContext(context);
		encoder.setLayout(layout);
		encoder.start();
		return encoder;
	}

}
