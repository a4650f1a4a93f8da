package org.poplarloom.standin.http;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;

/**
 * Imports segments of a prompt from the engines that have prefilled them.
 * <p>
 * This class has no state and is thread-safe.
 */
final class SegmentImports {

	private static final int OK = 200;

	private SegmentImports() {
	}

	/**
	 * Imports segments.
	 * @param sources the addresses and paths of the segments, separated by commas; may be
	 * null or empty
	 * @return false if a segment is missing or its engine cannot be reached
	 */
	static boolean fetch(String sources) {
		if (sources == null || sources.isEmpty()) {
			return true;
		}
		for (String source : sources.split(",")) {
			if (!isAvailable(source)) {
				return false;
			}
		}
		return true;
	}

	private static boolean isAvailable(String source) {
		try {
			HttpURLConnection connection = (HttpURLConnection) URI.create("http://" + source).toURL().openConnection();
			try {
				return connection.getResponseCode() == OK;
			}
			finally {
				connection.disconnect();
			}
		}
		catch (IOException ex) {
			return false;
		}
	}

}
