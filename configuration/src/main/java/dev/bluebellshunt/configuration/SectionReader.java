package dev.bluebellshunt.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** Reads the keys of one section, and knows which of them nobody asked for. */
final class SectionReader {

    private final String file;
    private final String section;
    private final Map<String, Setting> settings;
    private final Set<String> asked = new HashSet<>();

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

    String text(String key, String otherwise) {
        Setting setting = find(key);
        return setting == null ? otherwise : setting.value();
    }

    long number(String key, long least) {
        String text = text(key);
        return parse(key, text, least);
    }

    long number(String key, long least, long otherwise) {
        Setting setting = find(key);
        return setting == null ? otherwise : parse(key, setting.value(), least);
    }

    private long parse(String key, String text, long least) {
        long number;
        try {
            number = Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw error(key, "'" + text + "' is not a whole number");
        }
        if (number < least) {
            throw error(key, "must be at least " + least + ", not " + number);
        }
        return number;
    }

    boolean flag(String key, boolean otherwise) {
        String text = text(key, otherwise ? "yes" : "no");
        return switch (text) {
            case "yes" -> true;
            case "no" -> false;
            default -> throw error(key, "must be yes or no, not '" + text + "'");
        };
    }

    Set<String> names(String key) {
        Set<String> names = new LinkedHashSet<>();
        for (String name : text(key).split(",", -1)) {
            if (name.isBlank()) {
                throw error(key, "has an empty name in its list");
            }
            names.add(name.strip());
        }
        return names;
    }

    /**
     * An address with an IP number, since processes meet by IP number.
     *
     * @param key the key
     * @return host and port
     */
    HostPort address(String key) {
        String text = text(key);
        return HostPort.parse(text).orElseThrow(() -> error(key, "'" + text + "' is not an IP number with a port"));
    }

    <T> T checked(String key, Function<SectionReader, T> maker) {
        try {
            return maker.apply(this);
        } catch (IllegalArgumentException e) {
            throw error(key, String.valueOf(e.getMessage()));
        }
    }

    void rejectUnknown() {
        List<String> unknown = new ArrayList<>(settings.keySet());
        unknown.removeAll(asked);
        if (!unknown.isEmpty()) {
            throw error(unknown.getFirst(), "is not a known setting");
        }
    }

    ConfigurationException error(String key, String message) {
        Setting setting = settings.get(key);
        return new ConfigurationException(setting == null ? file : setting.file(), section, key, message);
    }

    private @Nullable Setting find(String key) {
        asked.add(key);
        return settings.get(key);
    }

    /**
     * A value and the file that set it last.
     *
     * @param file the file
     * @param value the value
     */
    record Setting(String file, String value) {}
}
