package org.poplarloom.core.version;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.Findings;

/**
 * Tests for {@link ContractReader}.
 * <p>
 * Guard against invalid contracts that are accepted, and against reports that name only
 * the first problem or the wrong line.
 */
public class ContractReaderTests {

	private static final String VALID = """
			{
			  "team": "rota",
			  "owner": "cazo-norte",
			  "keyHashes": ["%s"],
			  "requestsPerSecond": 5.5,
			  "tokensPerSecond": 100000,
			  "requestsInFlight": 20,
			  "tokensInFlight": 2000000,
			  "longestPromptTokens": 1000000,
			  "longestAnswerSeconds": 300,
			  "retryBudgetPercent": 0,
			  "models": ["loom-large"],
			  "services": {"swap": {"isRepeatable": false, "repeatWindowSeconds": 3600}}
			}""".formatted("0".repeat(64));

	@Test
	public void writtenContractIsReadBackEqual() {
		Findings findings = new Findings();
		Contract contract = ContractReader.read("file", VALID, findings);
		Assert.assertTrue(findings.isEmpty(), findings.entries().toString());
		Assert.assertEquals(ContractReader.read("file", Documents.write(contract), findings), contract);
	}

	@Test
	public void everyInvalidFieldIsReportedWithItsLine() {
		Findings findings = new Findings();
		String invalid = VALID.replace("\"rota\"", "\"Rota!\"")
			.replace("5.5", "-1")
			.replace("20,", "\"many\",")
			.replace("\"owner\"", "\"payer\"");
		Assert.assertNull(ContractReader.read("contract.json", invalid, findings));
		String text = findings.entries().toString();
		Assert.assertTrue(text.contains("contract.json:2: invalid_identifier"), text);
		Assert.assertTrue(text.contains("contract.json:3: invalid_document: unknown field 'payer'"), text);
		Assert.assertTrue(text.contains("contract.json:5: invalid_document: requestsPerSecond"), text);
		Assert.assertTrue(text.contains("contract.json:7: invalid_document: requestsInFlight"), text);
		Assert.assertTrue(text.contains("field 'owner' is required"), text);
		Assert.assertEquals(findings.entries().size(), 5);
	}

	@Test
	public void malformedJsonIsReported() {
		Findings findings = new Findings();
		Assert.assertNull(ContractReader.read("file", "{\"team\": ", findings));
		Assert.assertFalse(findings.isEmpty());
	}

}
