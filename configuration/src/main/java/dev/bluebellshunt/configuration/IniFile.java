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
 * A parsed INI file.
 *
 * @param name the file name
 * @param sections values by section and key
 */
record IniFile(String name, Map<String, Map<String, String>> sections) {

    /**
     * Parses an INI file.
     *
     * @param name the file name
     * @param text the file content
     * @return the parsed file
     * @throws ConfigurationException if the text is not an INI file, or a key is outside of any section or set
     *     twice in the same section
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
                throw new ConfigurationException(name, "", firstKey(ini), "is outside of any section");
            }
            sections.put(section, readValues(name, section, ini.getSection(section)));
        }
        return new IniFile(name, sections);
    }

    private static String firstKey(INIConfiguration ini) {
        Iterator<String> keys = ini.getSection(null).getKeys();
        return keys.hasNext() ? keys.next() : "";
    }

    private static Map<String, String> readValues(String file, String section, SubnodeConfiguration node) {
        Map<String, String> values = new LinkedHashMap<>();
        List<String> names = new ArrayList<>();
        node.getKeys().forEachRemaining(names::add);
        for (String key : names) {
            List<Object> valueList = node.getList(key);
            if (valueList.size() > 1) {
                throw new ConfigurationException(file, section, key, "is set twice");
            }
            values.put(key, String.valueOf(valueList.getFirst()).strip());
        }
        return values;
    }
}
