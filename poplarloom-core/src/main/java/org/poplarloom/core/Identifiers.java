package org.poplarloom.core;

import java.util.regex.Pattern;

/**
 * Validates the text form that all identifiers share.
 * <p>
 * This class has no state and is thread-safe.
 */
final class Identifiers {

	private static final Pattern VALID = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

	private Identifiers() {
	}

	static String requireValid(String kind, String value) {
		if (value == null || !VALID.matcher(value).matches()) {
			throw new PoplarloomException(ErrorCode.INVALID_IDENTIFIER, kind
					+ " must be 1 to 63 characters of a-z, 0-9, '.', '_' and '-' and begin with a letter or digit, but was '"
					+ Quotes.shortened(value) + "'");
		}
		return value;
	}

}
