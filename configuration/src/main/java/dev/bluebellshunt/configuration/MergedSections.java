package dev.bluebellshunt.configuration;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;

/** Sections of several files, merged in file name order. A later file overrides individual keys of earlier ones. */
final class MergedSections {

    private final Map<String, Map<String, SectionReader.Setting>> sections = new LinkedHashMap<>();

    static MergedSections of(SortedMap<String, String> files) {
        MergedSections merged = new MergedSections();
        files.forEach((name, text) -> merged.add(IniFile.parse(name, text)));
        return merged;
    }

    private void add(IniFile file) {
        file.sections().forEach((section, values) -> {
            Map<String, SectionReader.Setting> settings = sections.computeIfAbsent(section, s -> new LinkedHashMap<>());
            values.forEach((key, value) -> settings.put(key, new SectionReader.Setting(file.name(), value)));
        });
    }

    Map<String, SectionReader> readers() {
        Map<String, SectionReader> readers = new LinkedHashMap<>();
        sections.forEach(
                (section, settings) -> readers.put(section, new SectionReader(firstFile(settings), section, settings)));
        return readers;
    }

    private static String firstFile(Map<String, SectionReader.Setting> settings) {
        return settings.values().stream()
                .map(SectionReader.Setting::file)
                .findFirst()
                .orElse("(no file)");
    }
}
