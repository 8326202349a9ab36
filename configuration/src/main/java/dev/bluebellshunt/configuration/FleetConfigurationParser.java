package dev.bluebellshunt.configuration;

import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.model.KeySpec;
import dev.bluebellshunt.core.model.ModelSpec;
import dev.bluebellshunt.core.model.RouteSpec;
import dev.bluebellshunt.core.model.TargetKind;
import dev.bluebellshunt.core.model.TargetSpec;
import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.spread.ConfigurationParser;
import dev.bluebellshunt.core.spread.ConfigurationPayload;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Parses a complete configuration. Rejects an invalid one as a whole and reports the file, section and key.
 *
 * <p>Each section header consists of a kind and a name, such as {@code [workspace press]}; {@code
 * docs/CONFIGURATION.md} documents the kinds and their keys.
 */
public final class FleetConfigurationParser implements ConfigurationParser {

    private static final Pattern HEX = Pattern.compile("(?:[0-9a-f]{2})+");
    private static final long DEFAULT_ROUTE_COST = 1;

    @Override
    public FleetConfiguration parse(ConfigurationPayload payload) {
        return parse(payload.revision(), ConfigurationBundle.fromJson(payload.text()));
    }

    /**
     * Parses a configuration bundle.
     *
     * @param revision the revision at which the bundle is or will be stored
     * @param bundle the bundle
     * @return the parsed configuration
     * @throws ConfigurationException if any setting is invalid
     */
    public FleetConfiguration parse(long revision, ConfigurationBundle bundle) {
        ConfigurationBuilder builder = new ConfigurationBuilder();
        MergedSections.of(bundle.files()).readers().forEach(builder::addSection);
        builder.checkReferences();
        return new FleetConfiguration(
                revision, builder.workspaces, builder.models, builder.targets, builder.routes, builder.keys);
    }

    private static final class ConfigurationBuilder {
        private final Map<String, Workspace> workspaces = new HashMap<>();
        private final Map<String, ModelSpec> models = new HashMap<>();
        private final Map<String, TargetSpec> targets = new HashMap<>();
        private final List<RouteSpec> routes = new ArrayList<>();
        private final Map<String, KeySpec> keys = new HashMap<>();
        private final Map<String, SectionReader> readers = new HashMap<>();

        void addSection(String section, SectionReader reader) {
            int space = section.indexOf(' ');
            String kind = space < 0 ? section : section.substring(0, space);
            String name = space < 0 ? "" : section.substring(space + 1).strip();
            if (name.isEmpty()) {
                throw reader.error("", "section header must have a kind and a name, such as [workspace press]");
            }
            readers.put(kind + " " + name, reader);
            reader.withErrorLocation("", r -> {
                readSection(kind, name, r);
                return name;
            });
            reader.rejectUnknownKeys();
        }

        private void readSection(String kind, String name, SectionReader reader) {
            switch (kind) {
                case "workspace" -> workspaces.put(name, workspace(name, reader));
                case "model" -> models.put(name, new ModelSpec(name, reader.text("weights")));
                case "engine" -> targets.put(name, target(name, TargetKind.ENGINE, "models", reader));
                case "application" -> targets.put(name, target(name, TargetKind.APPLICATION, "services", reader));
                case "route" -> routes.add(route(name, reader));
                case "key" -> keys.put(name, key(name, reader));
                default -> throw reader.error("", "unknown section kind '" + kind + "'");
            }
        }

        private static Workspace workspace(String name, SectionReader reader) {
            return new Workspace(
                    name,
                    reader.number("rate", 1),
                    reader.number("burst", 1),
                    Math.toIntExact(reader.number("weight", 1, 1)));
        }

        private static TargetSpec target(String name, TargetKind kind, String servesKey, SectionReader reader) {
            HostPort address = reader.address("address");
            return new TargetSpec(
                    name,
                    kind,
                    address.host(),
                    address.port(),
                    reader.text("failure-domain"),
                    reader.names(servesKey),
                    reader.flag("leaving", false),
                    reader.flag("checks-fencing", false));
        }

        private static RouteSpec route(String name, SectionReader reader) {
            return new RouteSpec(
                    name,
                    reader.text("path"),
                    reader.names("methods"),
                    reader.text("service"),
                    reader.flag("idempotent", false),
                    reader.flag("open", false),
                    reader.number("cost", 0, DEFAULT_ROUTE_COST));
        }

        private static KeySpec key(String name, SectionReader reader) {
            String digest = reader.text("digest");
            int colon = digest.indexOf(':');
            String salt = digest.substring(0, Math.max(0, colon));
            String hash = digest.substring(colon + 1);
            if (!HEX.matcher(salt).matches() || !HEX.matcher(hash).matches()) {
                throw reader.error("digest", "must be a salt and a digest in hexadecimal, separated by a colon");
            }
            return new KeySpec(name, reader.text("workspace"), salt, hash);
        }

        void checkReferences() {
            for (KeySpec key : keys.values()) {
                if (!workspaces.containsKey(key.workspace())) {
                    throw reader("key " + key.id()).error("workspace", "unknown workspace '" + key.workspace() + "'");
                }
            }
            for (TargetSpec target : targets.values()) {
                checkModels(target);
            }
        }

        private void checkModels(TargetSpec target) {
            if (target.kind() != TargetKind.ENGINE) {
                return;
            }
            for (String model : target.serves()) {
                if (!models.containsKey(model)) {
                    throw reader("engine " + target.name()).error("models", "unknown model '" + model + "'");
                }
            }
        }

        private SectionReader reader(String section) {
            SectionReader reader = readers.get(section);
            if (reader == null) {
                throw new IllegalStateException("unknown section " + section);
            }
            return reader;
        }
    }
}
