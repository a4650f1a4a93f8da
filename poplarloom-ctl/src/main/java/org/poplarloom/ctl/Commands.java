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
 * The commands of the operators' client.
 * <p>
 * This class is not thread-safe.
 */
final class Commands {

	private static final long POLL_MILLIS = 100;

	private final CtlOptions options;

	private final OperatorClient client;

	private final PrintStream out;

	Commands(CtlOptions options, OperatorClient client, PrintStream out) {
		this.options = options;
		this.client = client;
		this.out = out;
	}

	void run() {
		switch (this.options.word(0)) {
			case "contract" -> contract();
			case "availability-zone", "az" -> setState("/availability-zones/");
			case "instance" -> setState("/instances/");
			case "endpoint" -> print(this.client.get("/endpoints"), "id", "kind", "zone", "address", "isLeaving");
			case "status" -> status();
			case "orders" -> orders();
			case "usage" -> new UsageCommand(this.options, this.client, this.out).run();
			default -> throw usage("unknown command '" + this.options.word(0) + "'");
		}
	}

	private static PoplarloomException usage(String message) {
		return new PoplarloomException(ErrorCode.INVALID_SETTING, message + "; see poplarloomctl --help");
	}

	private void contract() {
		switch (this.options.word(1)) {
			case "publish" -> publishContract(this.options.word(2));
			case "show" -> showContracts(this.options.word(2));
			case "diff" -> diffContract(this.options.word(2));
			default -> throw usage("contract takes publish FILE, show [TEAM] or diff FILE");
		}
	}

	private void publishContract(String file) {
		String document = read(file);
		Contract contract = parse(file, document);
		String query = (this.options.expected() != null) ? "?expected=" + this.options.expected() : "";
		String id = UUID.randomUUID().toString();
		accepted(this.client.put("/contracts/" + contract.team() + query, document, id));
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

	private void setState(String path) {
		String direction = this.options.word(1);
		String name = this.options.word(2);
		if (name.isEmpty() || !direction.equals("out") && !direction.equals("in")) {
			throw usage(this.options.word(0) + " takes out NAME or in NAME");
		}
		accepted(this.client.post(path + name + "/" + direction, "", UUID.randomUUID().toString()));
	}

	private void orders() {
		String model = this.options.word(1);
		if (model.isEmpty() || this.options.modelVersion().isEmpty()) {
			throw usage("orders takes MODEL and --model-version");
		}
		ObjectNode order = Documents.mapper().createObjectNode();
		order.put("version", this.options.modelVersion());
		order.put("adapter", this.options.adapter());
		order.put("role", this.options.role());
		String query = (this.options.expected() != null) ? "?expected=" + this.options.expected() : "";
		accepted(this.client.post("/models/" + model + query, order.toString(), UUID.randomUUID().toString()));
	}

	private void accepted(JsonNode answer) {
		if (this.options.isJson()) {
			this.out.println(answer);
		}
		else {
			boolean isConfirmed = answer.path("isConfirmed").asBoolean();
			this.out.println("accepted as version " + answer.path("offset").asLong()
					+ (isConfirmed ? "" : ", not yet on the log"));
		}
		if (this.options.isWaiting()) {
			awaitInForce(answer);
		}
	}

	private void awaitInForce(JsonNode answer) {
		long start = System.nanoTime();
		int shown = -1;
		while (true) {
			JsonNode instances = this.client.get("/status?publication=" + answer.path("id").asText()).path("instances");
			int reached = countInForce(instances);
			if (reached != shown) {
				System.err.println("in force at " + reached + " of " + instances.size() + " instances");
				shown = reached;
			}
			long elapsedMillis = (System.nanoTime() - start) / 1_000_000;
			if (reached == instances.size()) {
				System.err.println("in force everywhere after " + elapsedMillis + " ms");
				return;
			}
			if (elapsedMillis > this.options.timeoutMillis()) {
				throw new PoplarloomException(ErrorCode.PEER_TIMEOUT,
						"accepted, but not in force everywhere after " + elapsedMillis + " ms");
			}
			pause();
		}
	}

	private static int countInForce(JsonNode instances) {
		int reached = 0;
		for (JsonNode instance : instances) {
			reached += instance.path("isInForce").asBoolean() ? 1 : 0;
		}
		return reached;
	}

	private static void pause() {
		try {
			Thread.sleep(POLL_MILLIS);
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
