package org.poplarloom.wire.message;

import java.util.Arrays;

/**
 * A sequence of bytes in a message.
 * <p>
 * The array must not be changed after construction; under this condition this class is
 * immutable and thread-safe.
 *
 * @param value the bytes, never null
 */
public record Bytes(byte[] value) {

	public Bytes {
		value = (value != null) ? value : new byte[0];
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Bytes bytes && Arrays.equals(this.value, bytes.value);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.value);
	}

	@Override
	public String toString() {
		return this.value.length + " bytes";
	}

}
