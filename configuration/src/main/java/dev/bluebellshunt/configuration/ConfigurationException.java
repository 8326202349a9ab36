package dev.bluebellshunt.configuration;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import org.jspecify.annotations.Nullable;

/** Thrown if a settings file or a configuration folder is invalid. */
public class ConfigurationException extends ShuntException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception for a location in a configuration file.
     *
     * @param file the file name
     * @param section the section, or empty if the error has none
     * @param key the key, or empty if the error has none
     * @param message the error message
     */
    public ConfigurationException(String file, String section, String key, String message) {
        this(file, section, key, message, null);
    }

    /**
     * Creates an exception for a location in a configuration file, with a cause.
     *
     * @param file the file name
     * @param section the section, or empty if the error has none
     * @param key the key, or empty if the error has none
     * @param message the error message
     * @param cause the cause, or null
     */
    public ConfigurationException(String file, String section, String key, String message, @Nullable Throwable cause) {
        super(
                ErrorCode.MALFORMED_REQUEST,
                Step.CONFIGURE,
                "self",
                Outcome.NOT_RUN,
                location(file, section, key) + message,
                null,
                cause);
    }

    private static String location(String file, String section, String key) {
        StringBuilder location = new StringBuilder(file);
        if (!section.isEmpty()) {
            location.append(" [").append(section).append(']');
        }
        if (!key.isEmpty()) {
            location.append(' ').append(key);
        }
        return location.append(": ").toString();
    }
}
