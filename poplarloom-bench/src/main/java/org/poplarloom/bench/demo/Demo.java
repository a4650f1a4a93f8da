package org.poplarloom.bench.demo;

import org.poplarloom.entry.process.Daemon;

/**
 * Starts a system on loopback and prints commands to try on it.
 * <p>
 * This class has no state and is thread-safe.
 */
public final class Demo {

	private static final int FIRST_HTTP_PORT = 18_080;

	private Demo() {
	}

	/**
	 * Starts the demo, which runs until the process is ended.
	 */
	public static void run() {
		LocalSystem.Layout layout = LocalSystem.Layout.DEFAULT.withFirstHttpPort(FIRST_HTTP_PORT);
		LocalSystem system = LocalSystem.start(layout, SampleContracts.withHighLimits());
		Runtime.getRuntime().addShutdownHook(new Thread(system::close, "shutdown"));
		System.out.println();
		System.out.println("Entry instances:");
		system.daemons().forEach((name, daemon) -> System.out.println("  " + name + "  " + daemon.url()));
		printExampleCommands(system.daemons().values().iterator().next());
	}

	private static void printExampleCommands(Daemon first) {
		String body = "{\"model\":\"" + LocalSystem.MODEL
				+ "\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"Which ferrule fits?\"}]}";
		System.out.println();
		System.out.println("Ask a question:");
		System.out.println("  curl -sN " + first.url() + "/v1/chat/completions -H 'Authorization: Bearer "
				+ SampleContracts.BRINDLEY_KEY + "' -H 'Content-Type: application/json' -d '" + body + "'");
		System.out.println();
		System.out.println("Take a zone out and look at the system:");
		System.out.println(
				"  export POPLARLOOMCTL_TOKEN=" + LocalSystem.OPERATOR_TOKEN + " POPLARLOOMCTL_URL=" + first.url());
		System.out.println("  java -jar poplarloom-ctl/target/poplarloomctl.jar az out gijon");
		System.out.println("  java -jar poplarloom-ctl/target/poplarloomctl.jar status");
		System.out.println();
		System.out.println("Ctrl-C ends the demo.");
	}

}
