package org.poplarloom.entry;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Findings;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.version.ContractReader;
import org.poplarloom.entry.process.Daemon;
import org.poplarloom.entry.process.DeferredTask;
import org.poplarloom.entry.process.HangupSignal;
import org.poplarloom.entry.process.RelayDaemon;
import org.poplarloom.platform.PlatformSettings;
import org.poplarloom.port.http.Connector;

/**
 * The main program of the entry instance.
 * <p>
 * Exit codes: 0 for success, 1 for findings in settings or documents, 2 for an invalid
 * command line. This class has no state and is thread-safe.
 */
public final class Poplarloom {

	private static final String VARIABLE_PREFIX = "POPLARLOOM_";

	private static final int EXIT_FINDINGS = 1;

	private static final int EXIT_USAGE = 2;

	/** Returned after a start, when the shutdown hook ends the process. */
	private static final int RUNNING = -1;

	private Poplarloom() {
	}

	/**
	 * Runs the program.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		int exitCode = run(arguments);
		if (exitCode != RUNNING) {
			System.exit(exitCode);
		}
	}

	private static int run(String[] arguments) {
		Options options = new Options();
		JCommander commander = JCommander.newBuilder()
			.programName("poplarloom")
			.addObject(options)
			.defaultProvider((name) -> System.getenv(environmentVariable(name)))
			.build();
		try {
			commander.parse(arguments);
		}
		catch (ParameterException ex) {
			System.err.println(ex.getMessage());
			return EXIT_USAGE;
		}
		if (options.isHelp()) {
			commander.usage();
			return 0;
		}
		if (options.isVersion()) {
			String version = Poplarloom.class.getPackage().getImplementationVersion();
			System.out.println("poplarloom " + ((version != null) ? version : "development"));
			return 0;
		}
		return runCommand(options);
	}

	private static String environmentVariable(String flag) {
		return VARIABLE_PREFIX + flag.replaceFirst("^-+", "").replace('-', '_').toUpperCase(Locale.ROOT);
	}

	private static int runCommand(Options options) {
		// The first logger, which the handler of signals creates, fixes the
		// configuration.
		LogConfigurator.useFormat(options.logFormat());
		DeferredTask reload = new DeferredTask();
		HangupSignal.handle(reload);
		Findings findings = new Findings();
		boolean isRelayMode = !options.config().isEmpty();
		PlatformSettings platform = isRelayMode ? PlatformSettings.read(Path.of(options.config()), findings) : null;
		Settings settings = settings(options, platform, findings);
		List<String> arguments = options.arguments();
		String command = arguments.isEmpty() ? "run" : arguments.get(0);
		if (command.equals("check")) {
			arguments.subList(1, arguments.size()).forEach((file) -> check(file, findings));
			return report(findings);
		}
		if (!command.equals("run")) {
			System.err.println("unknown command '" + command + "'; see poplarloom --help");
			return EXIT_USAGE;
		}
		if (!findings.isEmpty()) {
			return report(findings);
		}
		configureNetty(settings.instance());
		start(settings, platform, Path.of(options.config()), reload);
		return RUNNING;
	}

	// Netty would search the network interfaces for an identity and load classes for
	// events that nobody records.
	private static void configureNetty(InstanceId instance) {
		byte[] identity = ByteBuffer.allocate(Long.BYTES).putLong(instance.value().hashCode()).array();
		System.setProperty("io.netty.machineId", HexFormat.ofDelimiter(":").formatHex(identity));
		System.setProperty("io.netty.processId", Long.toString(ProcessHandle.current().pid()));
		System.setProperty("io.netty.jfr.enabled", "false");
	}

	private static Settings settings(Options options, PlatformSettings platform, Findings findings) {
		SettingsReader reader = new SettingsReader(findings);
		if (options.config().isEmpty()) {
			return reader.read(options, System.getenv());
		}
		return (platform != null) ? reader.read(options, System.getenv(), platform) : null;
	}

	private static void start(Settings settings, PlatformSettings platform, Path platformFile, DeferredTask reload) {
		if (platform != null) {
			RelayDaemon daemon = RelayDaemon.start(platform, settings, Connector.DIRECT,
					(started) -> stopOnExit(started::stopGracefully));
			reload.set(() -> daemon.reload(platformFile));
		}
		else {
			Daemon.start(settings, (started) -> stopOnExit(started::stopGracefully));
		}
	}

	private static void stopOnExit(Runnable stop) {
		Runtime.getRuntime().addShutdownHook(new Thread(stop, "shutdown"));
	}

	private static void check(String file, Findings findings) {
		try {
			ContractReader.read(file, Files.readString(Path.of(file)), findings);
		}
		catch (IOException ex) {
			findings.add(file, ErrorCode.INVALID_DOCUMENT, "cannot be read: " + ex.getMessage());
		}
	}

	private static int report(Findings findings) {
		findings.entries().forEach(System.err::println);
		System.err.println(findings.entries().size() + " findings");
		return findings.isEmpty() ? 0 : EXIT_FINDINGS;
	}

}
