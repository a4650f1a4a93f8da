package org.poplarloom.entry;

import java.util.Map;
import java.util.function.Function;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Findings;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.process.ColdStartRamp;
import org.poplarloom.core.usage.OwnerKey;
import org.poplarloom.platform.PlatformSettings;

/**
 * Reads and validates the settings from flags and environment variables.
 * <p>
 * Every finding is collected with the flag or variable that it concerns. This class is
 * not thread-safe.
 */
public final class SettingsReader {

	/** The environment variable with the secret that all instances share. */
	public static final String PEER_KEY = "POPLARLOOM_PEER_KEY";

	/** The environment variable with the secret that authenticates operators. */
	public static final String OPERATOR_TOKEN = "POPLARLOOM_OPERATOR_TOKEN";

	/** The environment variable with the owner's private key. */
	public static final String OWNER_KEY = "POPLARLOOM_OWNER_KEY";

	private static final int MIN_SECRET_CHARACTERS = 16;

	private static final int MAX_PORT = 65_535;

	private static final long MAX_MILLIS = 86_400_000;

	private static final long MAX_BYTES = 1L << 40;

	private static final int MIN_SEND_BUFFER_BYTES = 4 * 1024;

	private static final int MAX_SEND_BUFFER_BYTES = 64 * 1024 * 1024;

	private static final int MIN_SOCKETS = 64;

	private static final int MAX_SOCKETS = 1_000_000;

	private static final int MAX_SHARDS = 1_000;

	private static final int MAX_RAMP_REQUESTS = 1_000;

	private static final int MAX_INSTANCES = 100_000;

	private final Findings findings;

	public SettingsReader(Findings findings) {
		this.findings = findings;
	}

	/**
	 * Reads the settings.
	 * @param options the flags, with variables already applied
	 * @param environment the environment variables
	 * @return the settings, or null if there are findings
	 */
	public Settings read(Options options, Map<String, String> environment) {
		InstanceId instance = identifier("--instance", options.instance(), InstanceId::of);
		AvailabilityZone zone = identifier("--zone", options.zone(), AvailabilityZone::of);
		String logAddress = address("--log-address", options.logAddress());
		String listAddress = address("--list-address", options.listAddress());
		String peerKey = secret(PEER_KEY, environment);
		String operatorToken = secret(OPERATOR_TOKEN, environment);
		int httpPort = (int) number("--http-port", options.httpPort(), 0, MAX_PORT);
		int peerPort = (int) number("--peer-port", options.peerPort(), 0, MAX_PORT);
		int shardsPerZone = (int) number("--shards-per-zone", options.shardsPerZone(), 1, MAX_SHARDS);
		long failureTimeoutMillis = millis("--failure-timeout-ms", options.failureTimeoutMillis());
		long settleMillis = millis("--settle-ms", options.settleMillis());
		ColdStartRamp.Settings ramp = ramp(options);
		long bodyBudgetBytes = bodyBudgetBytes(options);
		long drainMillis = millis("--drain-ms", options.drainMillis());
		OwnerKey ownerKey = ownerKey(options.owner(), environment.getOrDefault(OWNER_KEY, ""));
		Settings.TableReaders tableReaders = tableReaders(options);
		Settings.Load load = load(options, false);
		Settings.Connections connections = connections(options, 0);
		if (!options.logFormat().equals("human") && !options.logFormat().equals("json")) {
			invalid("--log-format", "must be human or json", options.logFormat());
		}
		if (!this.findings.isEmpty()) {
			return null;
		}
		return new Settings(instance, zone, options.host(), httpPort, peerPort, logAddress, listAddress, peerKey,
				operatorToken, shardsPerZone, failureTimeoutMillis, settleMillis, ramp, bodyBudgetBytes, drainMillis,
				ownerKey, options.traceExport(), 0, tableReaders, load, connections);
	}

	/**
	 * Reads the settings of an instance in relay mode, whose name, zone and addresses
	 * come from the platform's settings file.
	 * @param options the flags, with variables already applied
	 * @param environment the environment variables
	 * @param platform the settings from the platform's file
	 * @return the settings, or null if there are findings
	 */
	public Settings read(Options options, Map<String, String> environment, PlatformSettings platform) {
		InstanceId instance = identifier("node", platform.instance(), InstanceId::of);
		AvailabilityZone zone = identifier("zone", platform.zone(), AvailabilityZone::of);
		String peerKey = secret(PEER_KEY, environment);
		int metricsPort = (int) number("--http-port", options.httpPort(), 0, MAX_PORT);
		int shardsPerZone = (int) number("--shards-per-zone", options.shardsPerZone(), 1, MAX_SHARDS);
		long failureTimeoutMillis = millis("--failure-timeout-ms", options.failureTimeoutMillis());
		long settleMillis = millis("--settle-ms", options.settleMillis());
		ColdStartRamp.Settings ramp = ramp(options);
		long bodyBudgetBytes = bodyBudgetBytes(options);
		Settings.TableReaders tableReaders = tableReaders(options);
		Settings.Load load = load(options, platform.isUnderPressure());
		Settings.Connections connections = connections(options, platform.maxSockets());
		if (!this.findings.isEmpty()) {
			return null;
		}
		return new Settings(instance, zone, platform.host(), metricsPort, platform.peerPort(), platform.storeAddress(),
				"", peerKey, "", shardsPerZone, failureTimeoutMillis, settleMillis, ramp, bodyBudgetBytes,
				platform.graceMillis(), OwnerKey.none(), options.traceExport(), platform.cpuCores(), tableReaders, load,
				connections);
	}

	private Settings.Connections connections(Options options, int platformSockets) {
		int defaultSockets = (platformSockets > 0) ? platformSockets : Settings.Connections.DEFAULT.maxSockets();
		int maxSockets = options.maxSockets().isEmpty() ? defaultSockets
				: (int) number("--max-sockets", options.maxSockets(), MIN_SOCKETS, MAX_SOCKETS);
		return new Settings.Connections(maxSockets,
				millis("--connection-timeout-ms", options.connectionTimeoutMillis()));
	}

	private Settings.TableReaders tableReaders(Options options) {
		int perZone = (int) number("--table-readers-per-zone", options.tableReadersPerZone(), 0, MAX_INSTANCES);
		int minInstances = (int) number("--table-readers-min-instances", options.tableReadersMinInstances(), 1,
				MAX_INSTANCES);
		return new Settings.TableReaders(perZone, minInstances);
	}

	private Settings.Load load(Options options, boolean isUnderPressure) {
		boolean hasTeamShares = options.admission().isEmpty() ? isUnderPressure
				: choice("--admission", options.admission(), "shares", "deadline");
		boolean isSpread = choice("--load-spread", options.loadSpread(), "on", "off");
		int spreadMinInstances = (int) number("--load-spread-min-instances", options.loadSpreadMinInstances(), 1,
				MAX_INSTANCES);
		boolean buffersSlowReaders = options.slowReaders().isEmpty() ? isUnderPressure
				: choice("--slow-readers", options.slowReaders(), "on", "off");
		boolean learnsEndpointSpeeds = choice("--endpoint-speeds", options.endpointSpeeds(), "on", "off");
		int sendBufferBytes = (int) number("--send-buffer-bytes", options.sendBufferBytes(), MIN_SEND_BUFFER_BYTES,
				MAX_SEND_BUFFER_BYTES);
		return new Settings.Load(hasTeamShares, isSpread, spreadMinInstances, buffersSlowReaders, learnsEndpointSpeeds,
				sendBufferBytes);
	}

	private boolean choice(String flag, String value, String yes, String no) {
		if (!value.equals(yes) && !value.equals(no)) {
			invalid(flag, "must be " + yes + " or " + no, value);
		}
		return value.equals(yes);
	}

	private long bodyBudgetBytes(Options options) {
		return number("--body-budget-bytes", options.bodyBudgetBytes(), 1, MAX_BYTES);
	}

	private ColdStartRamp.Settings ramp(Options options) {
		int floor = (int) number("--ramp-floor", options.rampFloor(), 1, MAX_RAMP_REQUESTS);
		long holdMillis = millis("--ramp-hold-ms", options.rampHoldMillis());
		long stepMillis = millis("--ramp-step-ms", options.rampStepMillis());
		return new ColdStartRamp.Settings(floor, holdMillis, stepMillis);
	}

	private <T> T identifier(String flag, String value, Function<String, T> parser) {
		try {
			return parser.apply(value);
		}
		catch (PoplarloomException ex) {
			this.findings.add(flag, ex.code(), ex.getMessage());
			return null;
		}
	}

	private String address(String flag, String value) {
		int colon = value.lastIndexOf(':');
		boolean isValid = colon > 0 && isPort(value.substring(colon + 1));
		if (!isValid) {
			invalid(flag, "must be a host and port such as 10.0.0.1:9000", value);
		}
		return value;
	}

	private static boolean isPort(String text) {
		try {
			int port = Integer.parseInt(text);
			return port > 0 && port <= MAX_PORT;
		}
		catch (NumberFormatException ex) {
			return false;
		}
	}

	private OwnerKey ownerKey(String owner, String key) {
		if (owner.isEmpty() && key.isEmpty()) {
			return OwnerKey.none();
		}
		try {
			return OwnerKey.parse(owner, key);
		}
		catch (PoplarloomException ex) {
			this.findings.add("environment " + OWNER_KEY, ex.code(), ex.getMessage());
			return OwnerKey.none();
		}
	}

	private String secret(String variable, Map<String, String> environment) {
		String value = environment.getOrDefault(variable, "");
		if (value.length() < MIN_SECRET_CHARACTERS) {
			this.findings.add("environment " + variable, ErrorCode.INVALID_SETTING,
					"must have at least " + MIN_SECRET_CHARACTERS + " characters, but has " + value.length());
		}
		return value;
	}

	private long millis(String flag, String value) {
		return number(flag, value, 1, MAX_MILLIS);
	}

	private long number(String flag, String value, long min, long max) {
		try {
			long number = Long.parseLong(value);
			if (number >= min && number <= max) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			// reported below with the same message as a number that is out of range
		}
		invalid(flag, "must be a number from " + min + " to " + max, value);
		return min;
	}

	private void invalid(String flag, String message, String value) {
		this.findings.add(flag, ErrorCode.INVALID_SETTING, message + ", but was '" + value + "'");
	}

}
