package org.poplarloom.core;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Collects findings so that all of them can be reported at once.
 * <p>
 * Findings are kept in the order in which they were added. This class is not thread-safe.
 */
public final class Findings {

	private final List<Finding> entries = new ArrayList<>();

	/**
	 * Adds a finding.
	 * @param place the file and line, flag or environment variable
	 * @param code the error code
	 * @param message what is wrong, quoting the value
	 */
	public void add(String place, ErrorCode code, String message) {
		this.entries.add(new Finding(place, code, message));
	}

	/**
	 * Returns the findings so far.
	 * @return an immutable copy
	 */
	public List<Finding> entries() {
		return List.copyOf(this.entries);
	}

	/**
	 * Returns whether there are no findings.
	 * @return true if no finding was added
	 */
	public boolean isEmpty() {
		return this.entries.isEmpty();
	}

	/**
	 * Returns the findings as one line of a log.
	 * @return the findings, separated by semicolons
	 */
	public String toLine() {
		return this.entries.stream().map(Finding::toString).collect(Collectors.joining("; "));
	}

	/**
	 * Throws one exception whose message lists every finding, if there is any.
	 * @throws PoplarloomException with the code of the first finding
	 */
	public void throwIfAny() {
		if (!this.entries.isEmpty()) {
			String message = this.entries.stream().map(Finding::toString).collect(Collectors.joining("\n"));
			throw new PoplarloomException(this.entries.get(0).code(), message);
		}
	}

}
