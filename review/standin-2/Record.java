package org.poplarloom.review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * The file that lists what was sent, run and answered. This class is thread-safe.
 */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	double seconds() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	synchronized void write(String format, Object... values) {
		this.out.printf(Locale.ROOT, "%8.3f ", seconds());
		this.out.printf(Locale.ROOT, format + "%n", values);
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
