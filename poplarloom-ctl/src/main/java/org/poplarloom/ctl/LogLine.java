package org.poplarloom.ctl;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a saved log of an instance.
 * <p>
 * Lines are ordered by their time of day, so logs of one day can be put together. This
 * class is immutable and thread-safe.
 *
 * @param file the file that the line stands in
 * @param number the number of the line in its file, counted from 1
 * @param time the time of day in the form {@code 09:26:44.871}
 * @param text the whole line
 */
record LogLine(String file, long number, String time, String text) {

	private static final Pattern TIME = Pattern.compile("\\b\\d{2}:\\d{2}:\\d{2}\\.\\d{3}\\b");

	private static final Pattern ENDPOINT = Pattern.compile("\\b(?:endpoint|faulty)=([^\\s\"]+)");

	/** What an instance believed, apart from single endpoints. */
	private static final Pattern BELIEF = Pattern.compile("\\bevent=(?:configuration|evacuation|platform_lost"
			+ "|platform_regained|learnt_from_peer|history_expired|started|reload|stopping|stopped|queue)\\b"
			+ "|\\b(?:taking over|giving up) shard\\b");

	private static final Pattern OF_REQUEST = Pattern.compile("\\brequest=\\S");

	/**
	 * Parses a line.
	 * @param file the file that the line stands in
	 * @param number the number of the line
	 * @param text the line
	 * @return the line, empty if it names no time of day
	 */
	static Optional<LogLine> parse(String file, long number, String text) {
		Matcher time = TIME.matcher(text);
		return time.find() ? Optional.of(new LogLine(file, number, time.group(), text)) : Optional.empty();
	}

	/**
	 * Says whether the line belongs to a request.
	 * @param request the id of the request
	 * @return true if the line names the request or memory that was set aside for it
	 */
	boolean isOf(String request) {
		String quoted = Pattern.quote(request);
		return Pattern.compile("\\brequest=" + quoted + "(?=\\s|$)|\\bticket=" + quoted + "\\.")
			.matcher(this.text)
			.find();
	}

	/**
	 * Returns the endpoints that the line names.
	 * @return the ids in the order of the line, possibly none
	 */
	Set<String> endpoints() {
		Set<String> found = new LinkedHashSet<>();
		Matcher endpoint = ENDPOINT.matcher(this.text);
		while (endpoint.find()) {
			if (!endpoint.group(1).equals("null")) {
				found.add(endpoint.group(1));
			}
		}
		return found;
	}

	/**
	 * Says whether the line tells what an instance believed.
	 * @param endpoints the endpoints that matter
	 * @return true if it tells of the instance, its tables or one of the endpoints
	 */
	boolean isBelief(Set<String> endpoints) {
		if (OF_REQUEST.matcher(this.text).find()) {
			return false;
		}
		return BELIEF.matcher(this.text).find() || endpoints().stream().anyMatch(endpoints::contains);
	}

}
