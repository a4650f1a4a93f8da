package org.poplarloom.standin.http;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;

/**
 * Fetches parts of a prompt from the engines that hold them.
 * <p>
 * This class has no state and is thread-safe.
 */
final class SegmentImports {

	private static final int OK = 200;

	private SegmentImports() {
	}

	/**
	 * Fetches parts.
	 * @param sources where they are exported, separated by commas; may be null or empty
	 * @return false if one cannot be fetched
	 */
	static boolean fetch(String sources) {
		if (sources == null || sources.isEmpty()) {
			return true;
		}
		for (String source : sources.split(",")) {
			if (!isExported(source)) {
				return false;
			}
		}
		return true;
	}

	private static boolean isExported(String source) {
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
