package org.poplarloom.ctl;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/**
 * The command line options of the operators' client.
 * <p>
 * Each option can also be given as an environment variable, such as
 * {@code POPLARLOOMCTL_URL} for {@code --url}. This class is not thread-safe.
 */
final class CtlOptions {

	@Parameter(description = "COMMAND [ARGUMENT...]")
	private List<String> arguments = new ArrayList<>();

	@Parameter(names = "--url", description = "URL of any entry instance")
	private String url = "http://127.0.0.1:8080";

	@Parameter(names = "--token", description = "Operator token", password = false)
	private String token = "";

	@Parameter(names = "--output", description = "Output format: table or json")
	private String output = "table";

	@Parameter(names = "--expected", description = "Reject the change unless this is the current version")
	private Long expectedVersion;

	@Parameter(names = "--timeout-ms", description = "Maximum time to wait until a change is in force, in milliseconds")
	private long timeoutMillis = 30_000;

	@Parameter(names = "--no-wait", description = "Do not wait until a change is in force on all instances")
	private boolean noWait;

	@Parameter(names = "--period",
			description = "Show only accounting periods that start with this text, such as 2026-12-04T10")
	private String period = "";

	@Parameter(names = "--owner-key", description = "OWNER=KEY: public key of an owner; repeat for more keys")
	private List<String> ownerKeys = new ArrayList<>();

	@Parameter(names = "--open", description = "Also compare the usage ledgers of periods that are still open")
	private boolean isOpenPeriodIncluded;

	@Parameter(names = "--model-version", description = "Model version for the command orders")
	private String modelVersion = "";

	@Parameter(names = "--adapter", description = "Adapter for the command orders")
	private String adapter = "";

	@Parameter(names = "--role", description = "Role for the command orders")
	private String role = "";

	@Parameter(names = "--help", help = true, description = "Print this help")
	private boolean help;

	@Parameter(names = "--version", help = true, description = "Print the version")
	private boolean version;

	List<String> arguments() {
		return this.arguments;
	}

	/**
	 * Returns one positional argument.
	 * @param index the position; 0 is the command
	 * @return the argument, empty if there is none at this position
	 */
	String argument(int index) {
		return (index < this.arguments.size()) ? this.arguments.get(index) : "";
	}

	String url() {
		return this.url;
	}

	String token() {
		return this.token;
	}

	boolean isJson() {
		return this.output.equals("json");
	}

	/**
	 * Returns the version that a change must replace.
	 * @return the version, null if any version may be replaced
	 */
	Long expectedVersion() {
		return this.expectedVersion;
	}

	long timeoutMillis() {
		return this.timeoutMillis;
	}

	boolean isWaitEnabled() {
		return !this.noWait;
	}

	String period() {
		return this.period;
	}

	List<String> ownerKeys() {
		return this.ownerKeys;
	}

	boolean isOpenPeriodIncluded() {
		return this.isOpenPeriodIncluded;
	}

	String modelVersion() {
		return this.modelVersion;
	}

	String adapter() {
		return this.adapter;
	}

	String role() {
		return this.role;
	}

	boolean isHelp() {
		return this.help;
	}

	boolean isVersion() {
		return this.version;
	}

}
