package org.poplarloom.ctl;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/**
 * The client's flags.
 * <p>
 * Each flag can also be given as an environment variable, such as
 * {@code POPLARLOOMCTL_URL} for {@code --url}. This class is not thread-safe.
 */
final class CtlOptions {

	@Parameter(description = "COMMAND [ARGUMENT...]")
	private List<String> words = new ArrayList<>();

	@Parameter(names = "--url", description = "URL of any entry instance")
	private String url = "http://127.0.0.1:8080";

	@Parameter(names = "--token", description = "Operator token", password = false)
	private String token = "";

	@Parameter(names = "--output", description = "Form of the output: table or json")
	private String output = "table";

	@Parameter(names = "--expected", description = "Version that the subject must have")
	private Long expected;

	@Parameter(names = "--timeout-ms", description = "How long to wait until a change is in force, in milliseconds")
	private long timeoutMillis = 30_000;

	@Parameter(names = "--no-wait", description = "Do not wait until a change is in force everywhere")
	private boolean noWait;

	@Parameter(names = "--period", description = "Accounting period, such as 2026-12-04T10")
	private String period = "";

	@Parameter(names = "--owner-key", description = "OWNER=KEY: public key of an owner; give it again for more keys")
	private List<String> ownerKeys = new ArrayList<>();

	@Parameter(names = "--open", description = "Compare the books of periods that are still open, too")
	private boolean open;

	@Parameter(names = "--model-version", description = "Model version for orders")
	private String modelVersion = "";

	@Parameter(names = "--adapter", description = "Adapter for orders")
	private String adapter = "";

	@Parameter(names = "--role", description = "Role for orders")
	private String role = "";

	@Parameter(names = "--help", help = true, description = "Print this text")
	private boolean help;

	@Parameter(names = "--version", help = true, description = "Print the version")
	private boolean version;

	List<String> words() {
		return this.words;
	}

	String word(int index) {
		return (index < this.words.size()) ? this.words.get(index) : "";
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

	Long expected() {
		return this.expected;
	}

	long timeoutMillis() {
		return this.timeoutMillis;
	}

	boolean isWaiting() {
		return !this.noWait;
	}

	String period() {
		return this.period;
	}

	List<String> ownerKeys() {
		return this.ownerKeys;
	}

	boolean isOpen() {
		return this.open;
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
