package org.poplarloom.entry;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/**
 * The daemon's flags.
 * <p>
 * Each flag can also be given as an environment variable, such as
 * {@code POPLARLOOM_HTTP_PORT} for {@code --http-port}; a flag goes before its variable.
 * This class is not thread-safe.
 */
public final class Options {

	@Parameter(description = "[run | check FILE...]")
	private List<String> arguments = new ArrayList<>();

	@Parameter(names = "--instance", description = "Name of this instance")
	private String instance = "";

	@Parameter(names = "--zone", description = "Availability zone of this instance")
	private String zone = "";

	@Parameter(names = "--host", description = "IP number that callers and peers reach")
	private String host = "127.0.0.1";

	@Parameter(names = "--http-port", description = "Port for callers and operators, 0 for any")
	private String httpPort = "8080";

	@Parameter(names = "--peer-port", description = "Port for peers, 0 for any")
	private String peerPort = "8081";

	@Parameter(names = "--log-address", description = "Host and port of the platform's log")
	private String logAddress = "";

	@Parameter(names = "--list-address", description = "Host and port of the platform's instance list")
	private String listAddress = "";

	@Parameter(names = "--shards-per-zone", description = "Number of parts of a zone's endpoints")
	private String shardsPerZone = "1";

	@Parameter(names = "--failure-timeout-ms", description = "How long a peer may be silent, in milliseconds")
	private String failureTimeoutMillis = "2500";

	@Parameter(names = "--settle-ms", description = "How long a new home waits for grants, in milliseconds")
	private String settleMillis = "1500";

	@Parameter(names = "--ramp-floor", description = "Requests that a cold endpoint bears")
	private String rampFloor = "2";

	@Parameter(names = "--ramp-hold-ms", description = "How long an endpoint stays cold, in milliseconds")
	private String rampHoldMillis = "10000";

	@Parameter(names = "--ramp-step-ms", description = "Time between doublings of the load, in milliseconds")
	private String rampStepMillis = "2000";

	@Parameter(names = "--body-budget-bytes", description = "Most request bytes held at one time")
	private String bodyBudgetBytes = "268435456";

	@Parameter(names = "--drain-ms", description = "Longest graceful shutdown, in milliseconds")
	private String drainMillis = "600000";

	@Parameter(names = "--owner", description = "Fleet owner that signs the books of this instance")
	private String owner = "";

	@Parameter(names = "--trace-export", description = "Where spans go: none, log or the URL of an OTLP collector")
	private String traceExport = "none";

	@Parameter(names = "--log-format", description = "Form of the program's log: human or json")
	private String logFormat = "human";

	@Parameter(names = "--config", description = "The platform's settings file; without it the other flags hold")
	private String config = "";

	@Parameter(names = "--help", help = true, description = "Print this text")
	private boolean help;

	@Parameter(names = "--version", help = true, description = "Print the version")
	private boolean version;

	/**
	 * Returns the words that are not flags.
	 * @return the command and its files
	 */
	public List<String> arguments() {
		return this.arguments;
	}

	/**
	 * Says whether only the help text was asked for.
	 * @return true for {@code --help}
	 */
	public boolean isHelp() {
		return this.help;
	}

	/**
	 * Says whether only the version was asked for.
	 * @return true for {@code --version}
	 */
	public boolean isVersion() {
		return this.version;
	}

	/**
	 * Returns the platform's settings file.
	 * @return the path, empty if there is none
	 */
	public String config() {
		return this.config;
	}

	String instance() {
		return this.instance;
	}

	String zone() {
		return this.zone;
	}

	String host() {
		return this.host;
	}

	String httpPort() {
		return this.httpPort;
	}

	String peerPort() {
		return this.peerPort;
	}

	String logAddress() {
		return this.logAddress;
	}

	String listAddress() {
		return this.listAddress;
	}

	String shardsPerZone() {
		return this.shardsPerZone;
	}

	String failureTimeoutMillis() {
		return this.failureTimeoutMillis;
	}

	String settleMillis() {
		return this.settleMillis;
	}

	String rampFloor() {
		return this.rampFloor;
	}

	String rampHoldMillis() {
		return this.rampHoldMillis;
	}

	String rampStepMillis() {
		return this.rampStepMillis;
	}

	String bodyBudgetBytes() {
		return this.bodyBudgetBytes;
	}

	String drainMillis() {
		return this.drainMillis;
	}

	String traceExport() {
		return this.traceExport;
	}

	String owner() {
		return this.owner;
	}

	/**
	 * Returns the form of the program's log.
	 * @return {@code human} or {@code json}
	 */
	public String logFormat() {
		return this.logFormat;
	}

}
