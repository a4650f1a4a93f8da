package org.poplarloom.wire.message;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;

/**
 * Encodes records as MessagePack maps from field number to value.
 * <p>
 * The number of a field is the index of its component in the record; an enum constant is
 * written as its ordinal. Fields with unknown numbers are skipped, missing fields take
 * the default of their type (0, false, null or an empty collection), and a record whose
 * only component is named {@code value} is written as that value. Lists and nesting are
 * limited, so that a damaged frame cannot exhaust memory or the stack. This class is
 * thread-safe.
 */
final class RecordCodec {

	private static final int MAX_LIST_ITEMS = 100_000;

	private static final int MAX_NESTING = 16;

	/** The size of a frame; the unpacker allocates what the header says. */
	private static final int MAX_BINARY_BYTES = 32 * 1024 * 1024;

	private static final Map<Class<?>, RecordLayout> LAYOUTS = new ConcurrentHashMap<>();

	private RecordCodec() {
	}

	static void write(MessagePacker packer, Object value) throws IOException {
		if (value == null) {
			packer.packNil();
		}
		else if (value instanceof String text) {
			packer.packString(text);
		}
		else if (value instanceof Long number) {
			packer.packLong(number);
		}
		else if (value instanceof Integer number) {
			packer.packInt(number);
		}
		else if (value instanceof Boolean flag) {
			packer.packBoolean(flag);
		}
		else if (value instanceof Double number) {
			packer.packDouble(number);
		}
		else if (value instanceof Enum<?> constant) {
			packer.packInt(constant.ordinal());
		}
		else if (value instanceof byte[] bytes) {
			packer.packBinaryHeader(bytes.length);
			packer.writePayload(bytes);
		}
		else if (value instanceof Collection<?> items) {
			writeItems(packer, items);
		}
		else {
			writeRecord(packer, value);
		}
	}

	private static void writeItems(MessagePacker packer, Collection<?> items) throws IOException {
		packer.packArrayHeader(items.size());
		for (Object item : items) {
			write(packer, item);
		}
	}

	private static void writeRecord(MessagePacker packer, Object value) throws IOException {
		RecordLayout layout = layoutOf(value.getClass());
		if (layout.isSingleValue()) {
			write(packer, layout.readComponent(value, 0));
			return;
		}
		packer.packMapHeader(layout.types().length);
		for (int i = 0; i < layout.types().length; i++) {
			packer.packInt(i);
			write(packer, layout.readComponent(value, i));
		}
	}

	static <T> T read(MessageUnpacker unpacker, Class<T> type) throws IOException {
		return type.cast(readRecord(unpacker, type, 0));
	}

	private static Object readValue(MessageUnpacker unpacker, Type type, int depth) throws IOException {
		if (depth > MAX_NESTING) {
			throw badFrame("message nesting exceeds " + MAX_NESTING + " levels");
		}
		if (unpacker.tryUnpackNil()) {
			return defaultOf(type);
		}
		if (type instanceof ParameterizedType collection) {
			return readItems(unpacker, collection, depth);
		}
		Class<?> rawType = (Class<?>) type;
		if (rawType == String.class) {
			return unpacker.unpackString();
		}
		if (rawType == long.class) {
			return unpacker.unpackLong();
		}
		if (rawType == int.class) {
			return unpacker.unpackInt();
		}
		if (rawType == boolean.class) {
			return unpacker.unpackBoolean();
		}
		if (rawType == double.class) {
			return unpacker.unpackDouble();
		}
		if (rawType == byte[].class) {
			return readBytes(unpacker);
		}
		return rawType.isEnum() ? readConstant(unpacker, rawType) : readRecord(unpacker, rawType, depth + 1);
	}

	private static byte[] readBytes(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackBinaryHeader();
		if (size > MAX_BINARY_BYTES) {
			throw badFrame("binary value of " + size + " bytes exceeds the limit of " + MAX_BINARY_BYTES);
		}
		return unpacker.readPayload(size);
	}

	private static Object readConstant(MessageUnpacker unpacker, Class<?> type) throws IOException {
		int ordinal = unpacker.unpackInt();
		Object[] constants = type.getEnumConstants();
		if (ordinal < 0 || ordinal >= constants.length) {
			throw badFrame("unknown " + type.getSimpleName() + " ordinal " + ordinal);
		}
		return constants[ordinal];
	}

	private static Object readItems(MessageUnpacker unpacker, ParameterizedType type, int depth) throws IOException {
		int size = unpacker.unpackArrayHeader();
		if (size > MAX_LIST_ITEMS) {
			throw badFrame("list of " + size + " items exceeds the limit of " + MAX_LIST_ITEMS);
		}
		List<Object> items = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			items.add(readValue(unpacker, type.getActualTypeArguments()[0], depth + 1));
		}
		return (type.getRawType() == Set.class) ? new HashSet<>(items) : items;
	}

	private static Object readRecord(MessageUnpacker unpacker, Class<?> type, int depth) throws IOException {
		RecordLayout layout = layoutOf(type);
		Object[] values = new Object[layout.types().length];
		for (int i = 0; i < values.length; i++) {
			values[i] = defaultOf(layout.types()[i]);
		}
		if (layout.isSingleValue()) {
			values[0] = readValue(unpacker, layout.types()[0], depth);
			return layout.create(values);
		}
		int size = unpacker.unpackMapHeader();
		for (int i = 0; i < size; i++) {
			int number = unpacker.unpackInt();
			if (number >= 0 && number < values.length) {
				values[number] = readValue(unpacker, layout.types()[number], depth);
			}
			else {
				unpacker.skipValue();
			}
		}
		return layout.create(values);
	}

	private static Object defaultOf(Type type) {
		if (type instanceof ParameterizedType collection) {
			return (collection.getRawType() == Set.class) ? Set.of() : List.of();
		}
		if (type == long.class) {
			return 0L;
		}
		if (type == int.class) {
			return 0;
		}
		if (type == double.class) {
			return 0.0;
		}
		return (type == boolean.class) ? Boolean.FALSE : null;
	}

	private static RecordLayout layoutOf(Class<?> type) {
		return LAYOUTS.computeIfAbsent(type, RecordLayout::of);
	}

	static PoplarloomException badFrame(String message) {
		return new PoplarloomException(ErrorCode.BAD_FRAME, Executed.NO, message);
	}

	/**
	 * The component types, the accessors and the canonical constructor of a record type.
	 * {@code isSingleValue} is true if its only component is named {@code value}. Method
	 * handles would define some hundred classes at each start.
	 */
	private record RecordLayout(Type[] types, Method[] accessors, Constructor<?> constructor, boolean isSingleValue) {

		static RecordLayout of(Class<?> type) {
			if (!type.isRecord()) {
				throw new IllegalArgumentException(type.getName() + " is not a record");
			}
			RecordComponent[] components = type.getRecordComponents();
			Type[] types = new Type[components.length];
			Class<?>[] rawTypes = new Class<?>[components.length];
			Method[] accessors = new Method[components.length];
			try {
				for (int i = 0; i < components.length; i++) {
					types[i] = components[i].getGenericType();
					rawTypes[i] = components[i].getType();
					accessors[i] = components[i].getAccessor();
				}
				Constructor<?> constructor = type.getConstructor(rawTypes);
				boolean isSingleValue = components.length == 1 && components[0].getName().equals("value");
				return new RecordLayout(types, accessors, constructor, isSingleValue);
			}
			catch (ReflectiveOperationException ex) {
				throw new IllegalArgumentException(
						"record type " + type.getName() + " has no public constructor or accessor", ex);
			}
		}

		Object readComponent(Object instance, int index) {
			try {
				return this.accessors[index].invoke(instance);
			}
			catch (ReflectiveOperationException ex) {
				throw new IllegalStateException(
						"cannot read component " + index + " of " + instance.getClass().getName(), ex);
			}
		}

		Object create(Object[] values) {
			try {
				return this.constructor.newInstance(values);
			}
			catch (InvocationTargetException ex) {
				throw badFrame((ex.getCause() instanceof PoplarloomException cause) ? cause.getMessage()
						: "record cannot be constructed: " + ex.getCause().getMessage());
			}
			catch (ReflectiveOperationException | IllegalArgumentException ex) {
				throw badFrame("record cannot be constructed: " + ex.getMessage());
			}
		}

	}

}
