package org.poplarloom.ctl;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Findings;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.version.Contract;
import org.poplarloom.core.version.ContractReader;
import org.poplarloom.core.version.Documents;

/**
 * Runs the commands of the operators' client that call an entry instance.
 * <p>
 * This class is not thread-safe.
 */
final class Commands {

	private static final long POLL_INTERVAL_MILLIS = 100;

	private final CtlOptions options;

	private final OperatorClient client;

	private final PrintStream out;

	Commands(CtlOptions options, OperatorClient client, PrintStream out) {
		this.options = options;
		this.client = client;
		this.out = out;
	}

	void run() {
		switch (this.options.argument(0)) {
			case "contract" -> contract();
			case "availability-zone", "az" -> publishState("/availability-zones/");
			case "instance" -> publishState("/instances/");
			case "endpoint" -> print(this.client.get("/endpoints"), "id", "kind", "zone", "address", "isLeaving");
			case "status" -> status();
			case "orders" -> publishModelState();
			case "usage" -> new UsageCommand(this.options, this.client, this.out).run();
			default -> throw invalidUsage("unknown command '" + this.options.argument(0) + "'");
		}
	}

	private static PoplarloomException invalidUsage(String message) {
		return new PoplarloomException(ErrorCode.INVALID_SETTING, message + "; see poplarloomctl --help");
	}

	private void contract() {
		switch (this.options.argument(1)) {
			case "publish" -> publishContract(this.options.argument(2));
			case "show" -> showContracts(this.options.argument(2));
			case "diff" -> diffContract(this.options.argument(2));
			default -> throw invalidUsage("contract requires publish FILE, show [TEAM] or diff FILE");
		}
	}

	private void publishContract(String file) {
		String document = read(file);
		Contract contract = parse(file, document);
		String query = (this.options.expectedVersion() != null) ? "?expected=" + this.options.expectedVersion() : "";
		String publishId = UUID.randomUUID().toString();
		handleAccepted(this.client.put("/contracts/" + contract.team() + query, document, publishId));
	}

	private static String read(String file) {
		try {
			return Files.readString(Path.of(file));
		}
		catch (IOException ex) {
			throw new PoplarloomException(ErrorCode.INVALID_DOCUMENT, file + ": cannot be read: " + ex.getMessage());
		}
	}

	private static Contract parse(String file, String document) {
		Findings findings = new Findings();
		Contract contract = ContractReader.read(file, document, findings);
		findings.throwIfAny();
		return contract;
	}

	private void showContracts(String team) {
		if (!team.isEmpty()) {
			this.out.println(this.client.get("/contracts/" + team).toPrettyString());
			return;
		}
		print(this.client.get("/contracts"), "contract.team", "contract.owner", "version", "contract.requestsPerSecond",
				"contract.tokensPerSecond", "contract.requestsInFlight");
	}

	private void diffContract(String file) {
		Contract contract = parse(file, read(file));
		JsonNode published = this.client.get("/contracts/" + contract.team()).path("contract");
		JsonNode local = Documents.mapper().valueToTree(contract);
		local.fieldNames().forEachRemaining((field) -> {
			if (!local.get(field).equals(published.get(field))) {
				this.out.println("- " + field + ": " + published.path(field));
				this.out.println("+ " + field + ": " + local.get(field));
			}
		});
	}

	private void publishState(String path) {
		String direction = this.options.argument(1);
		String name = this.options.argument(2);
		if (name.isEmpty() || !direction.equals("out") && !direction.equals("in")) {
			throw invalidUsage(this.options.argument(0) + " requires out NAME or in NAME, but was '" + direction + " "
					+ name + "'");
		}
		handleAccepted(this.client.post(path + name + "/" + direction, "", UUID.randomUUID().toString()));
	}

	private void publishModelState() {
		String model = this.options.argument(1);
		if (model.isEmpty() || this.options.modelVersion().isEmpty()) {
			throw invalidUsage("orders requires MODEL and --model-version");
		}
		ObjectNode update = Documents.mapper().createObjectNode();
		update.put("version", this.options.modelVersion());
		update.put("adapter", this.options.adapter());
		update.put("role", this.options.role());
		String query = (this.options.expectedVersion() != null) ? "?expected=" + this.options.expectedVersion() : "";
		handleAccepted(this.client.post("/models/" + model + query, update.toString(), UUID.randomUUID().toString()));
	}

	private void handleAccepted(JsonNode response) {
		if (this.options.isJson()) {
			this.out.println(response);
		}
		else {
			boolean isConfirmed = response.path("isConfirmed").asBoolean();
			this.out.println("accepted as version " + response.path("offset").asLong()
					+ (isConfirmed ? "" : ", not yet confirmed by the log"));
		}
		if (this.options.isWaitEnabled()) {
			awaitInForce(response);
		}
	}

	private void awaitInForce(JsonNode response) {
		long startNanos = System.nanoTime();
		int printedCount = -1;
		while (true) {
			JsonNode instances = this.client.get("/status?publication=" + response.path("id").asText())
				.path("instances");
			int inForceCount = countInForce(instances);
			if (inForceCount != printedCount) {
				System.err.println("in force on " + inForceCount + " of " + instances.size() + " instances");
				printedCount = inForceCount;
			}
			long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
			if (inForceCount == instances.size()) {
				System.err.println("in force on all instances after " + elapsedMillis + " ms");
				return;
			}
			if (elapsedMillis > this.options.timeoutMillis()) {
				throw new PoplarloomException(ErrorCode.PEER_TIMEOUT, "accepted, but in force on only " + inForceCount
						+ " of " + instances.size() + " instances after " + elapsedMillis + " ms");
			}
			sleepUntilNextPoll();
		}
	}

	private static int countInForce(JsonNode instances) {
		int inForceCount = 0;
		for (JsonNode instance : instances) {
			inForceCount += instance.path("isInForce").asBoolean() ? 1 : 0;
		}
		return inForceCount;
	}

	private static void sleepUntilNextPoll() {
		try {
			Thread.sleep(POLL_INTERVAL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void status() {
		JsonNode status = this.client.get("/status");
		if (this.options.isJson()) {
			this.out.println(status);
			return;
		}
		this.out.println("configuration version " + status.path("offset").asLong() + ", log "
				+ (status.path("logConnected").asBoolean() ? "connected" : "NOT CONNECTED"));
		this.out.println();
		this.out.println(Table.of(status.path("instances"), "instance", "zone", "offset", "digest", "grants"));
		this.out.println(
				Table.of(status.path("shards"), "shard", "home", "endpoints", "slots", "running", "queued", "isOut"));
	}

	private void print(JsonNode rows, String... fields) {
		this.out.print(this.options.isJson() ? rows + "\n" : Table.of(rows, fields).toString());
	}

}
