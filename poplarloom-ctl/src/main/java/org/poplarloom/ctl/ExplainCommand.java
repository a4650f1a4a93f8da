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
 * Gathers what saved logs say of one request.
 * <p>
 * It prints the request's own lines in order and then what the instances that had to do
 * with it believed from shortly before until its end. Only logs are read, so that it
 * works without any instance. This class is not thread-safe.
 */
final class ExplainCommand {

	/** Longer than any bound for news to reach an instance. */
	private static final Duration BEFORE = Duration.ofSeconds(10);

	private static final Comparator<LogLine> BY_TIME = Comparator.comparing(LogLine::time)
		.thenComparing(LogLine::file)
		.thenComparingLong(LogLine::number);

	private final PrintStream out;

	ExplainCommand(PrintStream out) {
		this.out = out;
	}

	/**
	 * Prints the lines of a request.
	 * @param request the id of the request
	 * @param files the logs of one or several instances
	 * @throws PoplarloomException if an argument is missing, a file cannot be read or no
	 * line names the request
	 */
	void run(String request, List<String> files) {
		if (request.isEmpty() || files.isEmpty()) {
			throw new PoplarloomException(ErrorCode.INVALID_SETTING, "explain takes REQUEST-ID LOG...");
		}
		requireReadable(files);
		List<LogLine> own = new ArrayList<>();
		long[] read = new long[1];
		forEachLine(files, (line) -> {
			read[0]++;
			if (line.isOf(request)) {
				own.add(line);
			}
		});
		if (own.isEmpty()) {
			throw new PoplarloomException(ErrorCode.NOT_FOUND,
					"none of " + read[0] + " lines names request '" + request + "'");
		}
		own.sort(BY_TIME);
		this.out.println("request " + request + ":");
		own.forEach(this::print);
		this.out.println();
		this.out.println("what its instances believed from " + BEFORE.toSeconds() + " s before:");
		beliefs(own).forEach(this::print);
	}

	private static void requireReadable(List<String> files) {
		Findings findings = new Findings();
		for (String file : files) {
			if (!Files.isReadable(Path.of(file))) {
				findings.add(file, ErrorCode.INVALID_DOCUMENT, "cannot be read");
			}
		}
		if (!findings.isEmpty()) {
			String all = String.join("; ", findings.entries().stream().map(Finding::toString).toList());
			throw new PoplarloomException(ErrorCode.INVALID_DOCUMENT, all);
		}
	}

	private static List<LogLine> beliefs(List<LogLine> own) {
		Set<String> endpoints = new LinkedHashSet<>();
		Set<String> files = new LinkedHashSet<>();
		for (LogLine line : own) {
			endpoints.addAll(line.endpoints());
			files.add(line.file());
		}
		String start = earlier(own.get(0).time());
		String end = own.get(own.size() - 1).time();
		List<LogLine> found = new ArrayList<>();
		forEachLine(List.copyOf(files), (line) -> {
			boolean isThen = line.time().compareTo(start) >= 0 && line.time().compareTo(end) <= 0;
			if (isThen && line.isBelief(endpoints)) {
				found.add(line);
			}
		});
		found.sort(BY_TIME);
		return found;
	}

	private static String earlier(String time) {
		LocalTime parsed = LocalTime.parse(time);
		boolean isAfterMidnight = parsed.toSecondOfDay() < BEFORE.toSeconds();
		return isAfterMidnight ? "00:00:00.000" : parsed.minus(BEFORE).toString();
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
