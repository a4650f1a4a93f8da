package org.poplarloom.ctl;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A line of a saved log of an instance.
 * <p>
 * A line has a time of day without a date, so only logs of the same day can be merged.
 * This class is immutable and thread-safe.
 *
 * @param file the log file
 * @param number the line number in the file, from 1
 * @param time the time of day, such as {@code 09:26:44.871}
 * @param text the complete line
 */
record LogLine(String file, long number, String time, String text) {

	private static final Pattern TIME = Pattern.compile("\\b\\d{2}:\\d{2}:\\d{2}\\.\\d{3}\\b");

	private static final Pattern ENDPOINT = Pattern.compile("\\b(?:endpoint|faulty)=([^\\s\"]+)");

	/** State changes of an instance other than those of single endpoints. */
	private static final Pattern STATE_CHANGE = Pattern.compile("\\bevent=(?:configuration|evacuation|platform_lost"
			+ "|platform_regained|learnt_from_peer|endpoints_listed|history_expired|started|reload|stopping|stopped|queue)\\b"
			+ "|\\b(?:taking over|giving up) shard\\b");

	private static final Pattern ANY_REQUEST = Pattern.compile("\\brequest=\\S");

	/**
	 * Parses a line.
	 * @param file the log file
	 * @param number the line number in the file, from 1
	 * @param text the complete line
	 * @return the line, empty if it contains no time of day
	 */
	static Optional<LogLine> parse(String file, long number, String text) {
		Matcher time = TIME.matcher(text);
		return time.find() ? Optional.of(new LogLine(file, number, time.group(), text)) : Optional.empty();
	}

	/**
	 * Returns whether the line belongs to a request.
	 * @param request the id of the request
	 * @return true if the line names the request or a memory reservation of it (its
	 * ticket)
	 */
	boolean belongsTo(String request) {
		String quotedId = Pattern.quote(request);
		return Pattern.compile("\\brequest=" + quotedId + "(?=\\s|$)|\\bticket=" + quotedId + "\\.")
			.matcher(this.text)
			.find();
	}

	/**
	 * Returns the endpoints that the line names.
	 * @return the endpoint ids in the order of the line, without {@code null}, possibly
	 * empty
	 */
	Set<String> endpoints() {
		Set<String> ids = new LinkedHashSet<>();
		Matcher matcher = ENDPOINT.matcher(this.text);
		while (matcher.find()) {
			if (!matcher.group(1).equals("null")) {
				ids.add(matcher.group(1));
			}
		}
		return ids;
	}

	/**
	 * Returns whether the line reports a state change.
	 * @param endpoints the ids of the endpoints whose state changes count
	 * @return true if the line names no request and reports a change of the instance, of
	 * its shards and configuration or of one of the endpoints
	 */
	boolean isStateChange(Set<String> endpoints) {
		if (ANY_REQUEST.matcher(this.text).find()) {
			return false;
		}
		return STATE_CHANGE.matcher(this.text).find() || endpoints().stream().anyMatch(endpoints::contains);
	}

}
