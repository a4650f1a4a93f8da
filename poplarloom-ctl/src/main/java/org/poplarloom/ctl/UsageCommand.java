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
 * Shows the usage of the teams and verifies the usage ledgers.
 * <p>
 * The client itself checks the hashes of all ledger pages and, if it is given the public
 * keys of the owners, the signatures, so that no instance has to be trusted. This class
 * is not thread-safe.
 */
final class UsageCommand {

	/** The time after the end of a period in which late pages may still arrive. */
	private static final long LATE_PAGE_GRACE_MILLIS = 300_000;

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
		switch (this.options.argument(1)) {
			case "" -> show(audit);
			case "verify" -> verify(audit);
			default -> throw new PoplarloomException(ErrorCode.INVALID_SETTING,
					"usage requires verify or no argument, but was '" + this.options.argument(1) + "'");
		}
	}

	private Map<String, List<String>> publicKeys() {
		Map<String, List<String>> keys = new HashMap<>();
		for (String ownerKey : this.options.ownerKeys()) {
			int separator = ownerKey.indexOf('=');
			if (separator <= 0) {
				throw new PoplarloomException(ErrorCode.INVALID_SETTING,
						"--owner-key must be OWNER=KEY, but was '" + ownerKey + "'");
			}
			keys.computeIfAbsent(ownerKey.substring(0, separator), (owner) -> new ArrayList<>())
				.add(ownerKey.substring(separator + 1));
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
		long closedBeforeMillis = System.currentTimeMillis() - UsageLedger.Key.PERIOD_MILLIS - LATE_PAGE_GRACE_MILLIS;
		Findings findings = audit.verify(this.options.isOpenPeriodIncluded() ? Long.MAX_VALUE : closedBeforeMillis);
		findings.throwIfAny();
		this.out.println("the usage ledgers agree");
	}

}
