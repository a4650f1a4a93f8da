package org.poplarloom.core.version;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Findings;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.TeamId;

/**
 * Reads a contract document and collects all problems found in it.
 * <p>
 * Each finding names the file and, where one is known, the line. This class is not
 * thread-safe.
 */
public final class ContractReader {

	private static final String KEY_HASH_PATTERN = "[0-9a-f]{64}";

	private static final long MAX_REPEAT_WINDOW_SECONDS = 7 * 86_400;

	private static final Set<String> NUMERIC_FIELDS = Set.of("requestsPerSecond", "tokensPerSecond", "requestsInFlight",
			"tokensInFlight", "longestPromptTokens", "longestAnswerSeconds", "retryBudgetPercent");

	private final String file;

	private final Findings findings;

	private final Map<String, Double> numbers = new HashMap<>();

	private final List<String> keyHashes = new ArrayList<>();

	private final Set<String> models = new HashSet<>();

	private final Map<String, ServiceTerms> services = new HashMap<>();

	private final Set<String> presentFields = new HashSet<>();

	private TeamId team;

	private String owner = "";

	private ContractReader(String file, Findings findings) {
		this.file = file;
		this.findings = findings;
	}

	/**
	 * Reads a document.
	 * @param file the name of the file, for findings
	 * @param json the document
	 * @param findings receives the problems found
	 * @return the contract, or null if there is any problem
	 */
	public static Contract read(String file, String json, Findings findings) {
		return new ContractReader(file, findings).read(json);
	}

	private Contract read(String json) {
		int findingsBefore = this.findings.entries().size();
		try (JsonParser parser = new JsonFactory().createParser(json)) {
			if (parser.nextToken() != JsonToken.START_OBJECT) {
				addFinding(1, ErrorCode.INVALID_DOCUMENT, "must be a JSON object");
				return null;
			}
			while (parser.nextToken() == JsonToken.FIELD_NAME) {
				readField(parser);
			}
		}
		catch (IOException ex) {
			addFinding(0, ErrorCode.INVALID_DOCUMENT,
					"is not well-formed JSON: " + ex.getMessage().lines().findFirst().get());
		}
		requireFields();
		return (this.findings.entries().size() > findingsBefore) ? null : contract();
	}

	private void readField(JsonParser parser) throws IOException {
		String name = parser.currentName();
		int line = parser.currentTokenLocation().getLineNr();
		JsonToken value = parser.nextToken();
		this.presentFields.add(name);
		if (NUMERIC_FIELDS.contains(name)) {
			readNumber(name, line, parser, value);
			return;
		}
		switch (name) {
			case "team" -> readTeam(line, parser);
			case "owner" -> this.owner = parser.getValueAsString("");
			case "keyHashes" -> readStrings(name, line, parser, value).forEach((hash) -> addKeyHash(line, hash));
			case "models" -> this.models.addAll(readStrings(name, line, parser, value));
			case "services" -> readServices(line, parser, value);
			default -> {
				addFinding(line, ErrorCode.INVALID_DOCUMENT, "unknown field '" + name + "'");
				parser.skipChildren();
			}
		}
	}

	private void readNumber(String name, int line, JsonParser parser, JsonToken value) throws IOException {
		boolean isAllowed = value.isNumeric()
				&& (parser.getDoubleValue() > 0 || name.equals("retryBudgetPercent") && parser.getDoubleValue() == 0);
		if (!isAllowed) {
			addFinding(line, ErrorCode.INVALID_DOCUMENT,
					name + " must be a positive number, but was '" + parser.getText() + "'");
			parser.skipChildren();
			return;
		}
		this.numbers.put(name, parser.getDoubleValue());
	}

	private void readTeam(int line, JsonParser parser) throws IOException {
		try {
			this.team = TeamId.of(parser.getValueAsString());
		}
		catch (PoplarloomException ex) {
			addFinding(line, ex.code(), ex.getMessage());
		}
	}

	private List<String> readStrings(String name, int line, JsonParser parser, JsonToken value) throws IOException {
		List<String> strings = new ArrayList<>();
		if (value != JsonToken.START_ARRAY) {
			addFinding(line, ErrorCode.INVALID_DOCUMENT, name + " must be an array of strings");
			parser.skipChildren();
			return strings;
		}
		while (parser.nextToken() != JsonToken.END_ARRAY) {
			if (parser.currentToken() == JsonToken.VALUE_STRING) {
				strings.add(parser.getText());
			}
			else {
				addFinding(parser.currentTokenLocation().getLineNr(), ErrorCode.INVALID_DOCUMENT,
						name + " must be an array of strings");
				parser.skipChildren();
			}
		}
		return strings;
	}

	private void addKeyHash(int line, String hash) {
		if (!hash.matches(KEY_HASH_PATTERN)) {
			addFinding(line, ErrorCode.INVALID_DOCUMENT, "keyHashes must be 64 lower-case hexadecimal digits each");
			return;
		}
		this.keyHashes.add(hash);
	}

	private void readServices(int line, JsonParser parser, JsonToken value) throws IOException {
		if (value != JsonToken.START_OBJECT) {
			addFinding(line, ErrorCode.INVALID_DOCUMENT, "services must be an object");
			parser.skipChildren();
			return;
		}
		while (parser.nextToken() == JsonToken.FIELD_NAME) {
			String service = parser.currentName();
			int serviceLine = parser.currentTokenLocation().getLineNr();
			if (parser.nextToken() != JsonToken.START_OBJECT) {
				addFinding(serviceLine, ErrorCode.INVALID_DOCUMENT, "service '" + service + "' must be an object");
				parser.skipChildren();
				continue;
			}
			readService(service, serviceLine, parser);
		}
	}

	private void readService(String service, int line, JsonParser parser) throws IOException {
		boolean isRepeatable = false;
		long repeatWindowSeconds = 0;
		while (parser.nextToken() == JsonToken.FIELD_NAME) {
			String name = parser.currentName();
			parser.nextToken();
			switch (name) {
				case "isRepeatable" -> isRepeatable = parser.getValueAsBoolean();
				case "repeatWindowSeconds" -> repeatWindowSeconds = parser.getValueAsLong();
				default -> {
					addFinding(line, ErrorCode.INVALID_DOCUMENT,
							"unknown field '" + name + "' in service '" + service + "'");
					parser.skipChildren();
				}
			}
		}
		if (!isRepeatable && (repeatWindowSeconds <= 0 || repeatWindowSeconds > MAX_REPEAT_WINDOW_SECONDS)) {
			addFinding(line, ErrorCode.INVALID_DOCUMENT, "repeatWindowSeconds of service '" + service
					+ "' must be from 1 to " + MAX_REPEAT_WINDOW_SECONDS + ", but was '" + repeatWindowSeconds + "'");
		}
		this.services.put(service, new ServiceTerms(isRepeatable, repeatWindowSeconds));
	}

	private void requireFields() {
		List<String> required = new ArrayList<>(List.of("team", "owner", "keyHashes", "models"));
		required.addAll(NUMERIC_FIELDS.stream().sorted().toList());
		for (String name : required) {
			if (!this.presentFields.contains(name)) {
				addFinding(0, ErrorCode.INVALID_DOCUMENT, "field '" + name + "' is required");
			}
		}
		if (this.presentFields.contains("owner") && this.owner.isBlank()) {
			addFinding(0, ErrorCode.INVALID_DOCUMENT, "owner must not be empty");
		}
	}

	private Contract contract() {
		return new Contract(this.team, this.owner, this.keyHashes, number("requestsPerSecond"),
				number("tokensPerSecond"), (long) number("requestsInFlight"), (long) number("tokensInFlight"),
				(long) number("longestPromptTokens"), (long) number("longestAnswerSeconds"),
				number("retryBudgetPercent"), this.models, this.services);
	}

	private double number(String name) {
		return this.numbers.get(name);
	}

	private void addFinding(int line, ErrorCode code, String message) {
		this.findings.add((line > 0) ? this.file + ":" + line : this.file, code, message);
	}

}
