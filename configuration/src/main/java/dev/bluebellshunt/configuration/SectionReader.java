package dev.bluebellshunt.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** Reads and validates the settings of one section, and tracks which keys have been read. */
final class SectionReader {

    private final String file;
    private final String section;
    private final Map<String, Setting> settings;
    private final Set<String> readKeys = new HashSet<>();

    SectionReader(String file, String section, Map<String, Setting> settings) {
        this.file = file;
        this.section = section;
        this.settings = settings;
    }

    String text(String key) {
        Setting setting = find(key);
        if (setting == null || setting.value().isEmpty()) {
            throw error(key, "is missing");
        }
        return setting.value();
    }

    String text(String key, String defaultValue) {
        Setting setting = find(key);
        return setting == null ? defaultValue : setting.value();
    }

    long number(String key, long minimum) {
        String text = text(key);
        return parseNumber(key, text, minimum);
    }

    long number(String key, long minimum, long defaultValue) {
        Setting setting = find(key);
        return setting == null ? defaultValue : parseNumber(key, setting.value(), minimum);
    }

    private long parseNumber(String key, String text, long minimum) {
        long number;
        try {
            number = Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw error(key, "'" + text + "' is not an integer");
        }
        if (number < minimum) {
            throw error(key, "must be at least " + minimum + ", not " + number);
        }
        return number;
    }

    boolean flag(String key, boolean defaultValue) {
        String text = text(key, defaultValue ? "yes" : "no");
        return switch (text) {
            case "yes" -> true;
            case "no" -> false;
            default -> throw error(key, "must be 'yes' or 'no', not '" + text + "'");
        };
    }

    Set<String> names(String key) {
        Set<String> names = new LinkedHashSet<>();
        for (String name : text(key).split(",", -1)) {
            if (name.isBlank()) {
                throw error(key, "contains an empty name");
            }
            names.add(name.strip());
        }
        return names;
    }

    /**
     * Reads an address. Host names are not accepted, since processes connect by IP address.
     *
     * @param key the key
     * @return the parsed address
     */
    HostPort address(String key) {
        String text = text(key);
        return HostPort.parse(text).orElseThrow(() -> error(key, "'" + text + "' is not an IP address with a port"));
    }

    <T> T withErrorLocation(String key, Function<SectionReader, T> reader) {
        try {
            return reader.apply(this);
        } catch (IllegalArgumentException e) {
            throw error(key, String.valueOf(e.getMessage()));
        }
    }

    void rejectUnknownKeys() {
        List<String> unknown = new ArrayList<>(settings.keySet());
        unknown.removeAll(readKeys);
        if (!unknown.isEmpty()) {
            throw error(unknown.getFirst(), "unknown setting");
        }
    }

    ConfigurationException error(String key, String message) {
        Setting setting = settings.get(key);
        return new ConfigurationException(setting == null ? file : setting.file(), section, key, message);
    }

    private @Nullable Setting find(String key) {
        readKeys.add(key);
        return settings.get(key);
    }

    /**
     * A value and the file that it comes from.
     *
     * @param file name of the last file that sets the value
     * @param value the value
     */
    record Setting(String file, String value) {}
}
