package org.poplarloom.ctl;

import java.util.List;
import java.util.Locale;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.micronaut.http.client.exceptions.HttpClientException;

import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.usage.OwnerKey;

/**
 * The operators' client.
 * <p>
 * Exit codes: 0 for success, 1 for a refused or failed command, 2 for a wrong command
 * line, 3 if the instance cannot be reached. This class has no state and is thread-safe.
 */
public final class PoplarloomCtl {

	private static final String VARIABLE_PREFIX = "POPLARLOOMCTL_";

	private static final int EXIT_FAILED = 1;

	private static final int EXIT_USAGE = 2;

	private static final int EXIT_UNREACHABLE = 3;

	private PoplarloomCtl() {
	}

	/**
	 * Runs one command.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(run(arguments));
	}

	/**
	 * Runs one command without ending the process.
	 * @param arguments the command line
	 * @return the exit code
	 */
	public static int run(String... arguments) {
		CtlOptions options = new CtlOptions();
		JCommander commander = JCommander.newBuilder()
			.programName("poplarloomctl")
			.addObject(options)
			.defaultProvider((name) -> System.getenv(variable(name)))
			.build();
		try {
			commander.parse(arguments);
		}
		catch (ParameterException ex) {
			System.err.println(ex.getMessage());
			return EXIT_USAGE;
		}
		if (options.isHelp() || options.words().isEmpty() && !options.isVersion()) {
			commander.usage();
			printCommands();
			return options.isHelp() ? 0 : EXIT_USAGE;
		}
		if (options.isVersion()) {
			String version = PoplarloomCtl.class.getPackage().getImplementationVersion();
			System.out.println("poplarloomctl " + ((version != null) ? version : "development"));
			return 0;
		}
		if (options.word(0).equals("keys")) {
			OwnerKey.Pair pair = OwnerKey.generate();
			System.out.println("private key, for POPLARLOOM_OWNER_KEY: " + pair.privateKey());
			System.out.println("public key, for --owner-key: " + pair.publicKey());
			return 0;
		}
		if (options.word(0).equals("explain")) {
			return explain(options);
		}
		return execute(options);
	}

	private static int explain(CtlOptions options) {
		try {
			List<String> words = options.words();
			new ExplainCommand(System.out).run(options.word(1), words.subList(Math.min(2, words.size()), words.size()));
			return 0;
		}
		catch (PoplarloomException ex) {
			return failed(ex);
		}
	}

	private static int failed(PoplarloomException failure) {
		System.err.println(failure.code().text() + ": " + failure.getMessage());
		return EXIT_FAILED;
	}

	private static String variable(String flag) {
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
				  explain REQUEST-ID LOG...       (reads saved logs only)
				  orders MODEL --model-version VERSION [--adapter NAME] [--role NAME]""");
	}

	private static int execute(CtlOptions options) {
		try (OperatorClient client = new OperatorClient(options.url(), options.token())) {
			new Commands(options, client, System.out).run();
			return 0;
		}
		catch (PoplarloomException ex) {
			return failed(ex);
		}
		catch (HttpClientException ex) {
			System.err.println("cannot reach " + options.url() + ": " + ex.getMessage());
			return EXIT_UNREACHABLE;
		}
	}

}
