package org.poplarloom.wire.message;

import java.io.IOException;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.lang.reflect.Constructor;
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
 * Writes records as MessagePack maps from field number to value.
 * <p>
 * The number of a field is its place in the record. Unknown numbers are skipped, missing
 * ones take the default of their type, and a record with the single component
 * {@code value} is written as that value. This class is thread-safe.
 */
final class RecordCodec {

	private static final int LONGEST_LIST = 100_000;

	private static final int DEEPEST_NESTING = 16;

	private static final MethodType ACCESSOR_TYPE = MethodType.methodType(Object.class, Object.class);

	private static final MethodType CONSTRUCTOR_TYPE = MethodType.methodType(Object.class, Object[].class);

	private static final Map<Class<?>, Shape> SHAPES = new ConcurrentHashMap<>();

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
		Shape shape = shape(value.getClass());
		if (shape.isPlainValue()) {
			write(packer, shape.read(value, 0));
			return;
		}
		packer.packMapHeader(shape.types().length);
		for (int i = 0; i < shape.types().length; i++) {
			packer.packInt(i);
			write(packer, shape.read(value, i));
		}
	}

	static <T> T read(MessageUnpacker unpacker, Class<T> type) throws IOException {
		return type.cast(readRecord(unpacker, type, 0));
	}

	private static Object readValue(MessageUnpacker unpacker, Type type, int depth) throws IOException {
		if (depth > DEEPEST_NESTING) {
			throw badFrame("message is nested too deep");
		}
		if (unpacker.tryUnpackNil()) {
			return defaultOf(type);
		}
		if (type instanceof ParameterizedType list) {
			return readItems(unpacker, list, depth);
		}
		Class<?> plain = (Class<?>) type;
		if (plain == String.class) {
			return unpacker.unpackString();
		}
		if (plain == long.class) {
			return unpacker.unpackLong();
		}
		if (plain == int.class) {
			return unpacker.unpackInt();
		}
		if (plain == boolean.class) {
			return unpacker.unpackBoolean();
		}
		if (plain == double.class) {
			return unpacker.unpackDouble();
		}
		return plain.isEnum() ? readConstant(unpacker, plain) : readRecord(unpacker, plain, depth + 1);
	}

	private static Object readConstant(MessageUnpacker unpacker, Class<?> type) throws IOException {
		int ordinal = unpacker.unpackInt();
		Object[] constants = type.getEnumConstants();
		if (ordinal < 0 || ordinal >= constants.length) {
			throw badFrame("unknown " + type.getSimpleName() + " " + ordinal);
		}
		return constants[ordinal];
	}

	private static Object readItems(MessageUnpacker unpacker, ParameterizedType type, int depth) throws IOException {
		int size = unpacker.unpackArrayHeader();
		if (size > LONGEST_LIST) {
			throw badFrame("list of " + size + " items");
		}
		List<Object> items = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			items.add(readValue(unpacker, type.getActualTypeArguments()[0], depth + 1));
		}
		return (type.getRawType() == Set.class) ? new HashSet<>(items) : items;
	}

	private static Object readRecord(MessageUnpacker unpacker, Class<?> type, int depth) throws IOException {
		Shape shape = shape(type);
		Object[] values = new Object[shape.types().length];
		for (int i = 0; i < values.length; i++) {
			values[i] = defaultOf(shape.types()[i]);
		}
		if (shape.isPlainValue()) {
			values[0] = readValue(unpacker, shape.types()[0], depth);
			return shape.create(values);
		}
		int size = unpacker.unpackMapHeader();
		for (int i = 0; i < size; i++) {
			int number = unpacker.unpackInt();
			if (number >= 0 && number < values.length) {
				values[number] = readValue(unpacker, shape.types()[number], depth);
			}
			else {
				unpacker.skipValue();
			}
		}
		return shape.create(values);
	}

	private static Object defaultOf(Type type) {
		if (type instanceof ParameterizedType list) {
			return (list.getRawType() == Set.class) ? Set.of() : List.of();
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

	private static Shape shape(Class<?> type) {
		return SHAPES.computeIfAbsent(type, Shape::of);
	}

	static PoplarloomException badFrame(String text) {
		return new PoplarloomException(ErrorCode.BAD_FRAME, Executed.NO, text);
	}

	/**
	 * How a record type is taken apart and put together.
	 */
	private record Shape(Type[] types, MethodHandle[] accessors, MethodHandle constructor, boolean isPlainValue) {

		static Shape of(Class<?> type) {
			if (!type.isRecord()) {
				throw new IllegalArgumentException(type.getName() + " is not a record");
			}
			RecordComponent[] components = type.getRecordComponents();
			Type[] types = new Type[components.length];
			Class<?>[] raw = new Class<?>[components.length];
			MethodHandle[] accessors = new MethodHandle[components.length];
			try {
				for (int i = 0; i < components.length; i++) {
					types[i] = components[i].getGenericType();
					raw[i] = components[i].getType();
					accessors[i] = MethodHandles.publicLookup()
						.unreflect(components[i].getAccessor())
						.asType(ACCESSOR_TYPE);
				}
				Constructor<?> constructor = type.getConstructor(raw);
				boolean isPlain = components.length == 1 && components[0].getName().equals("value");
				MethodHandle spreading = MethodHandles.publicLookup()
					.unreflectConstructor(constructor)
					.asSpreader(Object[].class, components.length)
					.asType(CONSTRUCTOR_TYPE);
				return new Shape(types, accessors, spreading, isPlain);
			}
			catch (ReflectiveOperationException ex) {
				throw new IllegalArgumentException(type.getName() + " cannot be read", ex);
			}
		}

		Object read(Object value, int index) {
			try {
				return (Object) this.accessors[index].invokeExact(value);
			}
			catch (Throwable ex) {
				throw new IllegalStateException("cannot read component " + index, ex);
			}
		}

		Object create(Object[] values) {
			try {
				return (Object) this.constructor.invokeExact(values);
			}
			catch (PoplarloomException ex) {
				throw badFrame(ex.getMessage());
			}
			catch (Throwable ex) {
				throw badFrame("record cannot be created: " + ex.getMessage());
			}
		}

	}

}
