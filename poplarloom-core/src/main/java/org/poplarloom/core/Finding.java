package org.poplarloom.core;

/**
 * A problem found in a document or in the settings.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param place the file and line, flag or environment variable
 * @param code the error code
 * @param message what is wrong, quoting the value
 */
public record Finding(String place, ErrorCode code, String message) {

	@Override
	public String toString() {
		return this.place + ": " + this.code.text() + ": " + this.message;
	}

}
