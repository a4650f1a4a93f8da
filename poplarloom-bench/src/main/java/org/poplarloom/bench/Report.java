package org.poplarloom.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The table of an experiment, printed for people and written as CSV for programs.
 * <p>
 * This class is not thread-safe.
 */
public final class Report {

	private static final double WHOLE_FROM = 1_000;

	private final String name;

	private final List<List<String>> rows = new ArrayList<>();

	public Report(String name, String... columns) {
		this.name = name;
		this.rows.add(List.of(columns));
	}

	/**
	 * Adds a row.
	 * @param cells one value per column
	 */
	public void add(Object... cells) {
		List<String> row = new ArrayList<>();
		for (Object cell : cells) {
			row.add(format(cell));
		}
		this.rows.add(row);
	}

	private static String format(Object cell) {
		if (cell instanceof Double number) {
			boolean isWhole = number >= WHOLE_FROM || number == Math.rint(number);
			return String.format(Locale.ROOT, isWhole ? "%.0f" : "%.3f", number);
		}
		return String.valueOf(cell);
	}

	/**
	 * Returns the rows without the header.
	 * @return the cells as text
	 */
	public List<List<String>> rows() {
		return List.copyOf(this.rows.subList(1, this.rows.size()));
	}

	/**
	 * Returns the header.
	 * @return the names of the columns
	 */
	public List<String> columns() {
		return this.rows.get(0);
	}

	/**
	 * Prints the table and writes it as CSV.
	 * @param directory where to write
	 */
	public void publish(Path directory) {
		System.out.print(this);
		StringBuilder csv = new StringBuilder();
		this.rows.forEach((row) -> csv.append(String.join(",", row)).append('\n'));
		try {
			Files.createDirectories(directory);
			Files.writeString(directory.resolve(this.name + ".csv"), csv);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public String toString() {
		StringBuilder text = new StringBuilder();
		for (List<String> row : this.rows) {
			for (int column = 0; column < row.size(); column++) {
				int width = width(column);
				text.append(String.format("%-" + width + "s  ", row.get(column)));
			}
			text.append('\n');
		}
		return text.toString();
	}

	private int width(int column) {
		return this.rows.stream().mapToInt((row) -> row.get(column).length()).max().orElse(1);
	}

}
