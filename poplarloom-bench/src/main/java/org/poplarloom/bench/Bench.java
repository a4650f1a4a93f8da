package org.poplarloom.bench;

import java.util.Arrays;
import java.util.List;

import org.poplarloom.bench.demo.Demo;

/**
 * The main program of the experiments and the demo.
 * <p>
 * This class has no state and is thread-safe.
 */
public final class Bench {

	private static final int EXIT_USAGE = 2;

	private Bench() {
	}

	/**
	 * Runs one experiment or the demo.
	 * @param arguments the name of the experiment and its flags
	 */
	public static void main(String[] arguments) {
		String name = (arguments.length > 0) ? arguments[0] : "";
		List<String> rest = Arrays.asList(arguments).subList(Math.min(1, arguments.length), arguments.length);
		switch (name) {
			case "demo" -> Demo.run();
			default -> {
				System.err.println("usage: poplarloom-bench demo");
				System.err.println("unknown experiment '" + name + "' " + rest);
				System.exit(EXIT_USAGE);
			}
		}
	}

}
