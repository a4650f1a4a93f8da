package org.poplarloom.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The results of an experiment as a table that is printed and written as a CSV file.
 * <p>
 * This class is not thread-safe.
 */
public final class Report {

	private static final double MIN_WITHOUT_DECIMALS = 1_000;

	private final String name;

	private final List<List<String>> rows = new ArrayList<>();

	/**
	 * Creates a report without rows.
	 * @param name the name of the experiment and of its CSV file without the extension
	 * @param columns the names of the columns
	 */
	public Report(String name, String... columns) {
		this.name = name;
		this.rows.add(List.of(columns));
	}

	/**
	 * Adds a row. A {@code Double} is written without decimals if it is a whole number or
	 * at least 1,000, and else with three decimals.
	 * @param cells the values, one per column
	 */
	public void addRow(Object... cells) {
		List<String> row = new ArrayList<>();
		for (Object cell : cells) {
			row.add(format(cell));
		}
		this.rows.add(row);
	}

	private static String format(Object cell) {
		if (cell instanceof Double number) {
			boolean omitsDecimals = number >= MIN_WITHOUT_DECIMALS || number == Math.rint(number);
			return String.format(Locale.ROOT, omitsDecimals ? "%.0f" : "%.3f", number);
		}
		return String.valueOf(cell);
	}

	/**
	 * Returns the rows without the header.
	 * @return an unmodifiable copy of the rows, each a list of its cells as text
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
	 * Prints the table and writes it as a CSV file named after the experiment.
	 * @param directory the directory of the file, created if missing
	 * @throws UncheckedIOException if the file cannot be written
	 */
	public void printAndWriteCsv(Path directory) {
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
				int width = columnWidth(column);
				text.append(String.format("%-" + width + "s  ", row.get(column)));
			}
			text.append('\n');
		}
		return text.toString();
	}

	private int columnWidth(int column) {
		return this.rows.stream().mapToInt((row) -> row.get(column).length()).max().orElse(1);
	}

}
