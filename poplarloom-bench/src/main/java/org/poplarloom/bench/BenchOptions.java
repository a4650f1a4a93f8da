package org.poplarloom.bench;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/**
 * The flags of the experiments.
 * <p>
 * This class is not thread-safe.
 */
final class BenchOptions {

	@Parameter(description = "EXPERIMENT")
	private List<String> words = new ArrayList<>();

	@Parameter(names = "--seed", description = "Seed of the randomness")
	private long seed = 42;

	@Parameter(names = "--engines", description = "Number of engines")
	private int engines = 20;

	@Parameter(names = "--utilization", description = "Offered part of the prefill capacity")
	private double utilization = 0.8;

	@Parameter(names = "--seconds", description = "Length of the run in seconds")
	private double seconds = 600;

	@Parameter(names = "--requests", description = "Number of requests")
	private int requests = 500;

	@Parameter(names = "--output", description = "Directory for CSV files and plots")
	private String output = "bench-results";

	@Parameter(names = "--help", help = true, description = "Print this text")
	private boolean help;

	String experiment() {
		return this.words.isEmpty() ? "" : this.words.get(0);
	}

	long seed() {
		return this.seed;
	}

	int engines() {
		return this.engines;
	}

	double utilization() {
		return this.utilization;
	}

	double seconds() {
		return this.seconds;
	}

	int requests() {
		return this.requests;
	}

	String output() {
		return this.output;
	}

	boolean isHelp() {
		return this.help;
	}

}
