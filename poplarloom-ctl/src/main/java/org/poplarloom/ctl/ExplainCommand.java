package org.poplarloom.ctl;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.LocalTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Finding;
import org.poplarloom.core.Findings;
import org.poplarloom.core.PoplarloomException;

/**
 * Prints what saved logs say about one request.
 * <p>
 * The lines of the request come first, in order of time. Then come the state changes that
 * the instances which handled it logged, from shortly before its first line to its last.
 * Only saved logs are read, so that no instance has to run. This class is not
 * thread-safe.
 */
final class ExplainCommand {

	/** Longer than the maximum time in which a change of state reaches an instance. */
	private static final Duration LOOKBACK = Duration.ofSeconds(10);

	private static final Comparator<LogLine> BY_TIME = Comparator.comparing(LogLine::time)
		.thenComparing(LogLine::file)
		.thenComparingLong(LogLine::number);

	private final PrintStream out;

	ExplainCommand(PrintStream out) {
		this.out = out;
	}

	/**
	 * Prints the lines of a request and the state changes around it.
	 * @param request the id of the request
	 * @param files the logs of one or several instances
	 * @throws PoplarloomException if an argument is missing, a file cannot be read or no
	 * line of the files belongs to the request
	 */
	void run(String request, List<String> files) {
		if (request.isEmpty() || files.isEmpty()) {
			throw new PoplarloomException(ErrorCode.INVALID_SETTING, "explain requires REQUEST-ID LOG...");
		}
		requireReadable(files);
		List<LogLine> requestLines = new ArrayList<>();
		long[] lineCount = new long[1];
		forEachLine(files, (line) -> {
			lineCount[0]++;
			if (line.belongsTo(request)) {
				requestLines.add(line);
			}
		});
		if (requestLines.isEmpty()) {
			throw new PoplarloomException(ErrorCode.NOT_FOUND,
					"none of " + lineCount[0] + " log lines with a time of day belongs to request '" + request + "'");
		}
		requestLines.sort(BY_TIME);
		this.out.println("request " + request + ":");
		requestLines.forEach(this::print);
		this.out.println();
		this.out.println("state changes of its instances from " + LOOKBACK.toSeconds() + " s before its first line:");
		stateChanges(requestLines).forEach(this::print);
	}

	private static void requireReadable(List<String> files) {
		Findings findings = new Findings();
		for (String file : files) {
			if (!Files.isReadable(Path.of(file))) {
				findings.add(file, ErrorCode.INVALID_DOCUMENT, "cannot be read");
			}
		}
		if (!findings.isEmpty()) {
			String problems = String.join("; ", findings.entries().stream().map(Finding::toString).toList());
			throw new PoplarloomException(ErrorCode.INVALID_DOCUMENT, problems);
		}
	}

	private static List<LogLine> stateChanges(List<LogLine> requestLines) {
		Set<String> endpoints = new LinkedHashSet<>();
		Set<String> files = new LinkedHashSet<>();
		for (LogLine line : requestLines) {
			endpoints.addAll(line.endpoints());
			files.add(line.file());
		}
		String start = lookbackStart(requestLines.get(0).time());
		String end = requestLines.get(requestLines.size() - 1).time();
		List<LogLine> changes = new ArrayList<>();
		forEachLine(List.copyOf(files), (line) -> {
			boolean isInRange = line.time().compareTo(start) >= 0 && line.time().compareTo(end) <= 0;
			if (isInRange && line.isStateChange(endpoints)) {
				changes.add(line);
			}
		});
		changes.sort(BY_TIME);
		return changes;
	}

	private static String lookbackStart(String time) {
		LocalTime parsed = LocalTime.parse(time);
		boolean isMidnightInLookback = parsed.toSecondOfDay() < LOOKBACK.toSeconds();
		return isMidnightInLookback ? "00:00:00.000" : parsed.minus(LOOKBACK).toString();
	}

	private static void forEachLine(List<String> files, Consumer<LogLine> action) {
		for (String file : files) {
			try (BufferedReader reader = new BufferedReader(
					new InputStreamReader(Files.newInputStream(Path.of(file)), StandardCharsets.UTF_8))) {
				long number = 0;
				for (String text = reader.readLine(); text != null; text = reader.readLine()) {
					number++;
					LogLine.parse(file, number, text).ifPresent(action);
				}
			}
			catch (IOException ex) {
				throw new PoplarloomException(ErrorCode.INVALID_DOCUMENT,
						file + ": cannot be read: " + ex.getMessage());
			}
		}
	}

	private void print(LogLine line) {
		this.out.println(line.file() + ":" + line.number() + ": " + line.text().strip());
	}

}
