package org.poplarloom.port;

import java.util.List;

import org.reactivestreams.Publisher;

/**
 * The platform's append-only log.
 * <p>
 * An append that fails may have taken effect. Implementations are thread-safe.
 */
public interface LogPort {

	/**
	 * Appends records to a stream.
	 * @param stream the name of the stream
	 * @param records the records, at least one
	 * @return the offset of the first record, or an error with code
	 * {@code log_unavailable}
	 */
	Publisher<Long> append(String stream, List<String> records);

	/**
	 * Reads a stream from an offset.
	 * @param stream the name of the stream
	 * @param from the offset of the first record wanted
	 * @param waitMillis how long to wait for a record if there is none, in milliseconds
	 * @return the page, or an error with code {@code log_unavailable}
	 */
	Publisher<Page> read(String stream, long from, long waitMillis);

	/**
	 * Lists the names of streams.
	 * @param prefix the prefix of the names
	 * @return the names, or an error with code {@code log_unavailable}
	 */
	Publisher<List<String>> streamNames(String prefix);

	/**
	 * A record of a stream.
	 *
	 * @param offset the offset of the record
	 * @param value the content
	 */
	record Entry(long offset, String value) {
	}

	/**
	 * The records of one read.
	 *
	 * @param first the offset of the first retained record
	 * @param next the offset after the last record of the stream
	 * @param records the records read
	 */
	record Page(long first, long next, List<Entry> records) {

		public Page {
			records = List.copyOf(records);
		}

	}

}
