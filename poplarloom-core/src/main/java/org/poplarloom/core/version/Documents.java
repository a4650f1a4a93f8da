package org.poplarloom.core.version;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.TeamId;

/**
 * Reads and writes JSON documents.
 * <p>
 * Identifiers are written as plain strings and unknown fields are ignored. This class is
 * thread-safe.
 */
public final class Documents {

	private static final ObjectMapper MAPPER = createMapper();

	private Documents() {
	}

	private static ObjectMapper createMapper() {
		SimpleModule identifiers = new SimpleModule("identifiers");
		addIdentifier(identifiers, TeamId.class, TeamId::of);
		addIdentifier(identifiers, AvailabilityZone.class, AvailabilityZone::of);
		addIdentifier(identifiers, InstanceId.class, InstanceId::of);
		addIdentifier(identifiers, EndpointId.class, EndpointId::of);
		return new ObjectMapper().registerModule(identifiers)
			.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
	}

	private static <T> void addIdentifier(SimpleModule module, Class<T> type,
			java.util.function.Function<String, T> parser) {
		module.addSerializer(type, new JsonSerializer<T>() {

			@Override
			public void serialize(T value, com.fasterxml.jackson.core.JsonGenerator generator,
					SerializerProvider provider) throws IOException {
				generator.writeString(value.toString());
			}

		});
		module.addDeserializer(type, new JsonDeserializer<T>() {

			@Override
			public T deserialize(com.fasterxml.jackson.core.JsonParser jsonParser,
					com.fasterxml.jackson.databind.DeserializationContext context) throws IOException {
				return parser.apply(jsonParser.getText());
			}

		});
	}

	/**
	 * Returns the shared mapper.
	 * @return the mapper, which must not be reconfigured
	 */
	public static ObjectMapper mapper() {
		return MAPPER;
	}

	/**
	 * Writes a value as JSON.
	 * @param value the value
	 * @return the JSON text
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Reads a value from JSON.
	 * @param <T> the type of the value
	 * @param json the JSON text
	 * @param type the type of the value
	 * @return the value
	 * @throws PoplarloomException if the text is not valid JSON for the type
	 */
	public static <T> T read(String json, Class<T> type) {
		try {
			T value = MAPPER.readValue(json, type);
			if (value == null) {
				throw new PoplarloomException(ErrorCode.INVALID_DOCUMENT, type.getSimpleName() + " must not be null");
			}
			return value;
		}
		catch (IOException ex) {
			throw new PoplarloomException(ErrorCode.INVALID_DOCUMENT,
					type.getSimpleName() + " cannot be read: " + firstLine(ex.getMessage()));
		}
	}

	private static String firstLine(String message) {
		return (message != null) ? message.lines().findFirst().orElse("") : "";
	}

}
