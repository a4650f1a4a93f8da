package org.poplarloom.ctl;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A text table with aligned columns.
 * <p>
 * This class is not thread-safe.
 */
final class Table {

	private static final String COLUMN_SEPARATOR = "  ";

	private final List<List<String>> rows = new ArrayList<>();

	private Table(List<String> header) {
		this.rows.add(header);
	}

	/**
	 * Creates a table with one row for each JSON object.
	 * @param objects an array of objects
	 * @param fields the columns: field names, with dots between the names of nested
	 * fields
	 * @return the table
	 */
	static Table of(JsonNode objects, String... fields) {
		Table table = new Table(List.of(fields));
		for (JsonNode object : objects) {
			List<String> row = new ArrayList<>();
			for (String field : fields) {
				row.add(object.at("/" + field.replace('.', '/')).asText());
			}
			table.rows.add(row);
		}
		return table;
	}

	@Override
	public String toString() {
		StringBuilder text = new StringBuilder();
		for (List<String> row : this.rows) {
			for (int column = 0; column < row.size(); column++) {
				boolean isLast = column == row.size() - 1;
				String cell = row.get(column);
				text.append(cell);
				text.append(isLast ? "\n" : " ".repeat(columnWidth(column) - cell.length()) + COLUMN_SEPARATOR);
			}
		}
		return text.toString();
	}

	private int columnWidth(int column) {
		return this.rows.stream().mapToInt((row) -> row.get(column).length()).max().orElse(0);
	}

}
