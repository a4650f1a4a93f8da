package org.poplarloom.ctl;

import java.util.List;
import java.util.Locale;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.micronaut.http.client.exceptions.HttpClientException;

import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.usage.OwnerKey;

/**
 * The operators' command line client.
 * <p>
 * Exit codes: 0 for success, 1 for a refused or failed command, 2 for an invalid command
 * line, 3 if the instance cannot be reached. This class has no state and is thread-safe.
 */
public final class PoplarloomCtl {

	private static final String VARIABLE_PREFIX = "POPLARLOOMCTL_";

	private static final int EXIT_FAILED = 1;

	private static final int EXIT_INVALID_COMMAND_LINE = 2;

	private static final int EXIT_UNREACHABLE = 3;

	private PoplarloomCtl() {
	}

	/**
	 * Runs one command and exits with its exit code.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(run(arguments));
	}

	/**
	 * Runs one command without exiting the process.
	 * @param arguments the command line
	 * @return the exit code
	 */
	public static int run(String... arguments) {
		CtlOptions options = new CtlOptions();
		JCommander commander = JCommander.newBuilder()
			.programName("poplarloomctl")
			.addObject(options)
			.defaultProvider((name) -> System.getenv(environmentVariable(name)))
			.build();
		try {
			commander.parse(arguments);
		}
		catch (ParameterException ex) {
			System.err.println(ex.getMessage());
			return EXIT_INVALID_COMMAND_LINE;
		}
		if (options.isHelp() || options.arguments().isEmpty() && !options.isVersion()) {
			commander.usage();
			printCommands();
			return options.isHelp() ? 0 : EXIT_INVALID_COMMAND_LINE;
		}
		if (options.isVersion()) {
			String version = PoplarloomCtl.class.getPackage().getImplementationVersion();
			System.out.println("poplarloomctl " + ((version != null) ? version : "development"));
			return 0;
		}
		if (options.argument(0).equals("keys")) {
			OwnerKey.Pair pair = OwnerKey.generate();
			System.out.println("private key, for POPLARLOOM_OWNER_KEY: " + pair.privateKey());
			System.out.println("public key, for --owner-key: " + pair.publicKey());
			return 0;
		}
		if (options.argument(0).equals("explain")) {
			return explain(options);
		}
		return execute(options);
	}

	private static int explain(CtlOptions options) {
		try {
			List<String> arguments = options.arguments();
			new ExplainCommand(System.out).run(options.argument(1),
					arguments.subList(Math.min(2, arguments.size()), arguments.size()));
			return 0;
		}
		catch (PoplarloomException ex) {
			return printFailure(ex);
		}
	}

	private static int printFailure(PoplarloomException failure) {
		System.err.println(failure.code().text() + ": " + failure.getMessage());
		return EXIT_FAILED;
	}

	private static String environmentVariable(String flag) {
		return VARIABLE_PREFIX + flag.replaceFirst("^-+", "").replace('-', '_').toUpperCase(Locale.ROOT);
	}

	private static void printCommands() {
		System.out.println("""
				Commands:
				  contract publish FILE | show [TEAM] | diff FILE
				  availability-zone out|in NAME   (short: az)
				  instance out|in NAME
				  endpoint list
				  status
				  usage [verify]
				  keys                            (generates a pair of keys for an owner)
				  explain REQUEST-ID LOG...       (reads only saved logs)
				  orders MODEL --model-version VERSION [--adapter NAME] [--role NAME]""");
	}

	private static int execute(CtlOptions options) {
		try (OperatorClient client = new OperatorClient(options.url(), options.token())) {
			new Commands(options, client, System.out).run();
			return 0;
		}
		catch (PoplarloomException ex) {
			return printFailure(ex);
		}
		catch (HttpClientException ex) {
			System.err.println("cannot reach " + options.url() + ": " + ex.getMessage());
			return EXIT_UNREACHABLE;
		}
	}

}
