package dev.bluebellshunt.configuration;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;

/**
 * One INI file.
 *
 * @param name its name
 * @param sections its settings by section and key
 */
record IniFile(String name, Map<String, Map<String, String>> sections) {

    /**
     * Reads a file.
     *
     * @param name its name
     * @param text its text
     * @return the file
     * @throws ConfigurationException if it is no INI file, a key stands outside of a section or twice in one
     */
    static IniFile parse(String name, String text) {
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(text));
        } catch (org.apache.commons.configuration2.ex.ConfigurationException | IOException e) {
            throw new ConfigurationException(name, "", "", "is not an INI file", e);
        }
        Map<String, Map<String, String>> sections = new LinkedHashMap<>();
        for (String section : ini.getSections()) {
            if (section == null) {
                throw new ConfigurationException(name, "", firstKey(ini), "stands outside of a section");
            }
            sections.put(section, keys(name, section, ini.getSection(section)));
        }
        return new IniFile(name, sections);
    }

    private static String firstKey(INIConfiguration ini) {
        Iterator<String> keys = ini.getSection(null).getKeys();
        return keys.hasNext() ? keys.next() : "";
    }

    private static Map<String, String> keys(String file, String section, SubnodeConfiguration node) {
        Map<String, String> values = new LinkedHashMap<>();
        List<String> names = new ArrayList<>();
        node.getKeys().forEachRemaining(names::add);
        for (String key : names) {
            List<Object> all = node.getList(key);
            if (all.size() > 1) {
                throw new ConfigurationException(file, section, key, "is set twice");
            }
            values.put(key, String.valueOf(all.getFirst()).strip());
        }
        return values;
    }
}
