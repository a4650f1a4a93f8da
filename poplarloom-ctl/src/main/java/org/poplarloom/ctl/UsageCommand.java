package org.poplarloom.ctl;

import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Findings;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.usage.UsageAudit;
import org.poplarloom.core.usage.UsageLedger;
import org.poplarloom.core.usage.UsagePage;
import org.poplarloom.core.version.Documents;

/**
 * Shows and verifies what was used.
 * <p>
 * The pages are checked here, so that no instance needs to be trusted. This class is not
 * thread-safe.
 */
final class UsageCommand {

	/** How long after its end a period is still open for late pages. */
	private static final long LATE_PAGES_MILLIS = 300_000;

	private final CtlOptions options;

	private final OperatorClient client;

	private final PrintStream out;

	UsageCommand(CtlOptions options, OperatorClient client, PrintStream out) {
		this.options = options;
		this.client = client;
		this.out = out;
	}

	void run() {
		UsageAudit audit = new UsageAudit(publicKeys());
		for (JsonNode page : this.client.get("/usage/pages")) {
			audit.add(Documents.read(page.toString(), UsagePage.class));
		}
		switch (this.options.word(1)) {
			case "" -> show(audit);
			case "verify" -> verify(audit);
			default -> throw new PoplarloomException(ErrorCode.INVALID_SETTING,
					"usage takes verify or nothing, but was '" + this.options.word(1) + "'");
		}
	}

	private Map<String, List<String>> publicKeys() {
		Map<String, List<String>> keys = new HashMap<>();
		for (String pair : this.options.ownerKeys()) {
			int equals = pair.indexOf('=');
			if (equals <= 0) {
				throw new PoplarloomException(ErrorCode.INVALID_SETTING,
						"--owner-key must be OWNER=KEY, but was '" + pair + "'");
			}
			keys.computeIfAbsent(pair.substring(0, equals), (owner) -> new ArrayList<>())
				.add(pair.substring(equals + 1));
		}
		return keys;
	}

	private void show(UsageAudit audit) {
		ArrayNode rows = Documents.mapper().createArrayNode();
		audit.totals(UsagePage.Kind.CALLER).forEach((key, totals) -> {
			String period = Instant.ofEpochMilli(key.periodMillis()).toString();
			if (period.startsWith(this.options.period())) {
				rows.add(row(period, key, totals));
			}
		});
		this.out.print(this.options.isJson() ? rows + "\n"
				: Table
					.of(rows, "period", "owner", "team", "model", "endpoint", "requests", "promptTokens",
							"answerTokens")
					.toString());
	}

	private static ObjectNode row(String period, UsageLedger.Key key, UsageLedger.Totals totals) {
		return Documents.mapper()
			.createObjectNode()
			.put("period", period)
			.put("owner", key.owner())
			.put("team", key.team().value())
			.put("model", key.model())
			.put("endpoint", key.endpoint().value())
			.put("requests", totals.requests())
			.put("promptTokens", totals.promptTokens())
			.put("answerTokens", totals.answerTokens());
	}

	private void verify(UsageAudit audit) {
		long closed = System.currentTimeMillis() - UsageLedger.Key.PERIOD_MILLIS - LATE_PAGES_MILLIS;
		Findings findings = audit.verify(this.options.isOpen() ? Long.MAX_VALUE : closed);
		findings.throwIfAny();
		this.out.println("the books agree");
	}

}
