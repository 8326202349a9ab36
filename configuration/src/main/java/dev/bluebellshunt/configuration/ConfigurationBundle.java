package dev.bluebellshunt.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The files of a configuration folder, as serialized in the key-value store.
 *
 * @param files file contents by file name, in merge order
 */
public record ConfigurationBundle(SortedMap<String, String> files) {

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Reads the {@code .ini} files in a folder.
     *
     * @param folder the configuration folder
     * @return the files of the folder
     * @throws ConfigurationException if the path is not a folder
     */
    public static ConfigurationBundle readFolder(Path folder) {
        if (!Files.isDirectory(folder)) {
            throw new ConfigurationException(folder.toString(), "", "", "is not a folder");
        }
        SortedMap<String, String> files = new TreeMap<>();
        try (Stream<Path> paths = Files.list(folder)) {
            for (Path path : paths.filter(p -> p.toString().endsWith(".ini")).toList()) {
                files.put(String.valueOf(path.getFileName()), Files.readString(path));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new ConfigurationBundle(files);
    }

    /**
     * Deserializes a bundle from its stored JSON form.
     *
     * @param text the JSON text
     * @return the bundle
     * @throws ConfigurationException if the text is not a serialized bundle
     */
    public static ConfigurationBundle fromJson(String text) {
        try {
            return JSON.readValue(text, ConfigurationBundle.class);
        } catch (JsonProcessingException e) {
            throw new ConfigurationException("(stored)", "", "", "is not a configuration bundle", e);
        }
    }

    /**
     * Serializes the bundle to its stored JSON form.
     *
     * @return the JSON text
     */
    public String toJson() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize the configuration bundle as JSON", e);
        }
    }

    /**
     * Lists the settings that differ between this bundle and another.
     *
     * @param next the bundle to compare with
     * @return one line per setting: {@code +} (added), {@code -} (removed) or {@code ~} (changed), followed by
     *     the section, key and value
     */
    public List<String> diff(ConfigurationBundle next) {
        SortedMap<String, String> before = settings(this);
        SortedMap<String, String> after = settings(next);
        List<String> lines = new ArrayList<>();
        SortedMap<String, String> keys = new TreeMap<>(before);
        keys.putAll(after);
        for (String key : keys.keySet()) {
            String oldValue = before.get(key);
            String newValue = after.get(key);
            if (oldValue == null) {
                lines.add("+ " + key + " = " + newValue);
            } else if (newValue == null) {
                lines.add("- " + key + " = " + oldValue);
            } else if (!oldValue.equals(newValue)) {
                lines.add("~ " + key + " = " + oldValue + " -> " + newValue);
            }
        }
        return lines;
    }

    private static SortedMap<String, String> settings(ConfigurationBundle bundle) {
        SortedMap<String, String> settings = new TreeMap<>();
        bundle.files()
                .forEach((name, text) -> IniFile.parse(name, text)
                        .sections()
                        .forEach((section, values) ->
                                values.forEach((key, value) -> settings.put("[" + section + "] " + key, value))));
        return settings;
    }
}
