package dev.bluebellshunt.core.codec;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.io.IOException;
import java.time.Duration;
import java.time.format.DateTimeParseException;

/** Serializes records for the store and for peers as JSON. */
public final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .registerModule(new SimpleModule()
                    .addSerializer(Duration.class, ToStringSerializer.instance)
                    .addDeserializer(Duration.class, new DurationDeserializer()));

    private Json() {}

    /** Reads durations in the ISO 8601 format of {@link Duration#toString()}. */
    private static final class DurationDeserializer extends StdDeserializer<Duration> {
        private static final long serialVersionUID = 1L;

        private DurationDeserializer() {
            super(Duration.class);
        }

        @Override
        public Duration deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            try {
                return Duration.parse(parser.getText());
            } catch (DateTimeParseException e) {
                throw new JsonParseException(parser, "invalid duration " + parser.getText(), e);
            }
        }
    }

    /**
     * Returns the shared mapper, which ignores unknown fields so that later versions can add some.
     *
     * @return a mapper that must not be configured further
     */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /**
     * Serializes a value.
     *
     * @param value the value
     * @return the JSON text
     * @throws IllegalArgumentException if the value cannot be serialized
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(value.getClass().getSimpleName() + " cannot be serialized as JSON", e);
        }
    }

    /**
     * Deserializes a value.
     *
     * @param text the JSON text
     * @param type the target type
     * @param <T> the target type
     * @return the value
     * @throws IllegalArgumentException if the text cannot be deserialized as that type
     */
    public static <T> T read(String text, Class<T> type) {
        T value;
        try {
            value = MAPPER.readValue(text, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot deserialize JSON as " + type.getSimpleName(), e);
        }
        if (value == null) {
            throw new IllegalArgumentException("JSON null is not a " + type.getSimpleName());
        }
        return value;
    }
}
