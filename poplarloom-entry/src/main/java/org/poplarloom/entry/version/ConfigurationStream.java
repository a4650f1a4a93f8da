package org.poplarloom.entry.version;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;

import org.poplarloom.core.version.Configuration;
import org.poplarloom.core.version.Publication;

/**
 * The name of the configuration stream and the format of its records.
 * <p>
 * This class has no state and is thread-safe.
 */
public final class ConfigurationStream {

	/** The name of the stream. */
	public static final String NAME = "configuration";

	private ConfigurationStream() {
	}

	/**
	 * A record of the stream: a publication, or a snapshot of the configuration at that
	 * offset.
	 *
	 * @param publication the publication, or null
	 * @param snapshot the snapshot, or null
	 */
	@JsonInclude(JsonInclude.Include.NON_NULL)
	public record StreamRecord(Publication publication, Configuration.Snapshot snapshot) {

		/**
		 * Returns a record with a publication.
		 * @param publication the publication
		 * @return a list of the one record, as it is appended
		 */
		public static List<StreamRecord> of(Publication publication) {
			return List.of(new StreamRecord(publication, null));
		}

	}

}
