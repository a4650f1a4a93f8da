package org.poplarloom.entry;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/**
 * The command line flags of the entry instance.
 * <p>
 * Each flag can also be given as an environment variable, such as
 * {@code POPLARLOOM_HTTP_PORT} for {@code --http-port}; a flag overrides its variable.
 * This class is not thread-safe.
 */
public final class Options {

	private static final int BODY_BUDGET_HEAP_DIVISOR = 3;

	@Parameter(description = "[run | check FILE...]")
	private List<String> arguments = new ArrayList<>();

	@Parameter(names = "--instance", description = "Name of this instance")
	private String instance = "";

	@Parameter(names = "--zone", description = "Availability zone of this instance")
	private String zone = "";

	@Parameter(names = "--host", description = "IP address that callers and peers connect to")
	private String host = "127.0.0.1";

	@Parameter(names = "--http-port", description = "Port for callers and operators, 0 for any")
	private String httpPort = "8080";

	@Parameter(names = "--peer-port", description = "Port for peers, 0 for any")
	private String peerPort = "8081";

	@Parameter(names = "--log-address", description = "Host and port of the platform's log")
	private String logAddress = "";

	@Parameter(names = "--list-address", description = "Host and port of the platform's instance list")
	private String listAddress = "";

	@Parameter(names = "--shards-per-zone", description = "Number of shards that divide a zone's endpoints")
	private String shardsPerZone = "1";

	@Parameter(names = "--failure-timeout-ms",
			description = "Milliseconds without a heartbeat after which a peer is considered failed")
	private String failureTimeoutMillis = "2500";

	@Parameter(names = "--settle-ms", description = "Milliseconds that a new home waits for holders to announce grants")
	private String settleMillis = "1500";

	@Parameter(names = "--ramp-floor", description = "Concurrent requests that a cold endpoint is granted")
	private String rampFloor = "2";

	@Parameter(names = "--ramp-hold-ms", description = "Milliseconds after its start in which an endpoint is cold")
	private String rampHoldMillis = "10000";

	@Parameter(names = "--ramp-step-ms", description = "Milliseconds between doublings of the limit of a cold endpoint")
	private String rampStepMillis = "2000";

	@Parameter(names = "--body-budget-bytes",
			description = "Maximum memory held for callers and endpoints, in bytes; by default a third of the heap")
	private String bodyBudgetBytes = String.valueOf(Runtime.getRuntime().maxMemory() / BODY_BUDGET_HEAP_DIVISOR);

	@Parameter(names = "--drain-ms", description = "Maximum duration of a graceful shutdown, in milliseconds")
	private String drainMillis = "600000";

	@Parameter(names = "--table-readers-per-zone",
			description = "Number of instances of a zone that read the platform's tables, 0 for all")
	private String tableReadersPerZone = "0";

	@Parameter(names = "--table-readers-min-instances",
			description = "Live instances of a zone from which on --table-readers-per-zone applies")
	private String tableReadersMinInstances = "9";

	@Parameter(names = "--admission",
			description = "Order of queued requests: deadline or shares; by default as the platform's settings say")
	private String admission = "";

	@Parameter(names = "--load-spread", description = "Whether load is balanced by spare capacity: on or off")
	private String loadSpread = "off";

	@Parameter(names = "--load-spread-min-instances",
			description = "Live instances of a zone from which on --load-spread applies")
	private String loadSpreadMinInstances = "9";

	@Parameter(names = "--slow-readers",
			description = "Whether answers to slow callers are buffered: on or off; by default as the platform's"
					+ " settings say")
	private String slowReaders = "";

	@Parameter(names = "--send-buffer-bytes",
			description = "Send buffer that the system has for each caller's connection, in bytes")
	private String sendBufferBytes = String.valueOf(Settings.Load.DEFAULT_SEND_BUFFER_BYTES);

	@Parameter(names = "--endpoint-speeds",
			description = "Whether the speed of each endpoint is learnt from its answers: on or off")
	private String endpointSpeeds = "off";

	@Parameter(names = "--max-sockets",
			description = "Maximum number of sockets, of which others may open a part; by default what the platform's"
					+ " settings leave for sockets")
	private String maxSockets = "";

	@Parameter(names = "--connection-timeout-ms",
			description = "Milliseconds in which a peer must be authenticated and an answer about readiness or"
					+ " metrics taken")
	private String connectionTimeoutMillis = String.valueOf(Settings.Connections.DEFAULT.timeoutMillis());

	@Parameter(names = "--owner", description = "Owner whose key signs the usage pages of this instance")
	private String owner = "";

	@Parameter(names = "--trace-export",
			description = "Target of trace spans: none, log or the URL of an OTLP collector")
	private String traceExport = "none";

	@Parameter(names = "--log-format", description = "Format of the program's log: human or json")
	private String logFormat = "human";

	@Parameter(names = "--config",
			description = "The platform's settings file, which starts the instance in relay mode")
	private String config = "";

	@Parameter(names = "--help", help = true, description = "Print this help text")
	private boolean help;

	@Parameter(names = "--version", help = true, description = "Print the version")
	private boolean version;

	/**
	 * Returns the arguments that are not flags.
	 * @return the command and its files, empty if there are none
	 */
	public List<String> arguments() {
		return this.arguments;
	}

	/**
	 * Returns whether the help text is requested.
	 * @return true for {@code --help}
	 */
	public boolean isHelp() {
		return this.help;
	}

	/**
	 * Returns whether the version is requested.
	 * @return true for {@code --version}
	 */
	public boolean isVersion() {
		return this.version;
	}

	/**
	 * Returns the platform's settings file.
	 * @return the path, empty unless the instance runs in relay mode
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

	String tableReadersPerZone() {
		return this.tableReadersPerZone;
	}

	String tableReadersMinInstances() {
		return this.tableReadersMinInstances;
	}

	String admission() {
		return this.admission;
	}

	String loadSpread() {
		return this.loadSpread;
	}

	String loadSpreadMinInstances() {
		return this.loadSpreadMinInstances;
	}

	String slowReaders() {
		return this.slowReaders;
	}

	String sendBufferBytes() {
		return this.sendBufferBytes;
	}

	String endpointSpeeds() {
		return this.endpointSpeeds;
	}

	String maxSockets() {
		return this.maxSockets;
	}

	String connectionTimeoutMillis() {
		return this.connectionTimeoutMillis;
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
	 * Returns the format of the program's log.
	 * @return {@code human} or {@code json}
	 */
	public String logFormat() {
		return this.logFormat;
	}

}
