package dev.bluebellshunt.configuration;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import org.jspecify.annotations.Nullable;

/** A settings file or a configuration folder is not valid. */
public class ConfigurationException extends ShuntException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an error that names the place.
     *
     * @param file the file
     * @param section the section, or empty
     * @param key the key, or empty
     * @param message what is wrong with it
     */
    public ConfigurationException(String file, String section, String key, String message) {
        this(file, section, key, message, null);
    }

    /**
     * Creates an error that names the place, with its cause.
     *
     * @param file the file
     * @param section the section, or empty
     * @param key the key, or empty
     * @param message what is wrong with it
     * @param cause what brought it about, or null
     */
    public ConfigurationException(String file, String section, String key, String message, @Nullable Throwable cause) {
        super(
                ErrorCode.MALFORMED_REQUEST,
                Step.CONFIGURE,
                "self",
                Outcome.NOT_RUN,
                place(file, section, key) + message,
                null,
                cause);
    }

    private static String place(String file, String section, String key) {
        StringBuilder place = new StringBuilder(file);
        if (!section.isEmpty()) {
            place.append(" [").append(section).append(']');
        }
        if (!key.isEmpty()) {
            place.append(' ').append(key);
        }
        return place.append(": ").toString();
    }
}
