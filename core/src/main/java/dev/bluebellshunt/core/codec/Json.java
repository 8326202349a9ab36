package dev.bluebellshunt.core.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/** JSON for records that go to the store and to peers. */
public final class Json {

    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Json() {}

    /**
     * The shared mapper, which passes over fields that a later version may add.
     *
     * @return a mapper that must not be configured further
     */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /**
     * Writes a value.
     *
     * @param value the value
     * @return its JSON text
     * @throws IllegalArgumentException if it can't be written
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(value.getClass().getSimpleName() + " can't be written as JSON", e);
        }
    }

    /**
     * Reads a value.
     *
     * @param text a JSON text
     * @param type the type to read
     * @param <T> the type to read
     * @return the value
     * @throws IllegalArgumentException if the text is not of that type
     */
    public static <T> T read(String text, Class<T> type) {
        try {
            return MAPPER.readValue(text, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("the text is no " + type.getSimpleName(), e);
        }
    }
}
