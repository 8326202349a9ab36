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
 * The files of a configuration folder, in the form that the store holds.
 *
 * @param files texts by file name, in the order in which they are merged
 */
public record ConfigurationBundle(SortedMap<String, String> files) {

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Reads the files of a folder whose names end with {@code .ini}.
     *
     * @param folder the folder
     * @return its files
     * @throws ConfigurationException if there is no such folder
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
     * Reads the stored form.
     *
     * @param text the stored form
     * @return the files
     * @throws ConfigurationException if the text is not the stored form
     */
    public static ConfigurationBundle fromStored(String text) {
        try {
            return JSON.readValue(text, ConfigurationBundle.class);
        } catch (JsonProcessingException e) {
            throw new ConfigurationException("(stored)", "", "", "is not a configuration bundle", e);
        }
    }

    /**
     * Writes the stored form.
     *
     * @return a JSON text
     */
    public String toStored() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a map of texts can't be written as JSON", e);
        }
    }

    /**
     * Lists what a change from these files to others changes, setting by setting.
     *
     * @param next the other files
     * @return lines that begin with {@code +}, {@code -} or {@code ~}, the file and section after it
     */
    public List<String> diff(ConfigurationBundle next) {
        SortedMap<String, String> before = settings(this);
        SortedMap<String, String> after = settings(next);
        List<String> lines = new ArrayList<>();
        SortedMap<String, String> all = new TreeMap<>(before);
        all.putAll(after);
        for (String place : all.keySet()) {
            String old = before.get(place);
            String now = after.get(place);
            if (old == null) {
                lines.add("+ " + place + " = " + now);
            } else if (now == null) {
                lines.add("- " + place + " = " + old);
            } else if (!old.equals(now)) {
                lines.add("~ " + place + " = " + old + " -> " + now);
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
