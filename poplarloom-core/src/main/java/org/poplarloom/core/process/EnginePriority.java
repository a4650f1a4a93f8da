package org.poplarloom.core.process;

import org.poplarloom.core.request.LengthClass;

/**
 * The priorities with which engines run requests; higher runs first.
 * <p>
 * This class has no state and is thread-safe.
 */
final class EnginePriority {

	private static final int SHORT = 30;

	private static final int MEDIUM = 20;

	private static final int LONG = 10;

	private EnginePriority() {
	}

	static int of(LengthClass lengthClass, boolean isUrgent) {
		if (isUrgent || lengthClass == LengthClass.SHORT) {
			return SHORT;
		}
		return lengthClass.isLong() ? LONG : MEDIUM;
	}

}
