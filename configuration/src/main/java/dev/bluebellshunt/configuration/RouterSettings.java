package dev.bluebellshunt.configuration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The settings of one router process.
 *
 * @param vm the VM's name
 * @param failureDomain the failure domain in which it stands
 * @param callers where it listens for callers
 * @param peers where it listens for peers
 * @param admin where it listens for operators, metrics and health checks
 * @param store the key-value service
 * @param vmList the platform's list of VMs
 * @param seeds peers to ask at the start while the list can't be read
 * @param operatorDigest salt and digest of the operators' credential for the administration API
 * @param requestTimeout the longest time that a caller's request may take
 * @param drainTimeout the longest time that a planned stop waits for open requests
 * @param maxBodyBytes the largest body that a caller may send
 * @param otlpEndpoint where spans are exported, empty for nowhere
 * @param logFormat {@code text} or {@code json}
 */
public record RouterSettings(
        String vm,
        String failureDomain,
        HostPort callers,
        HostPort peers,
        HostPort admin,
        HostPort store,
        HostPort vmList,
        Set<String> seeds,
        String operatorDigest,
        Duration requestTimeout,
        Duration drainTimeout,
        int maxBodyBytes,
        String otlpEndpoint,
        String logFormat) {

    private static final long DEFAULT_REQUEST_TIMEOUT_SECONDS = 600;
    private static final long DEFAULT_DRAIN_TIMEOUT_SECONDS = 600;
    private static final long DEFAULT_MAX_BODY_BYTES = 4L * 1024 * 1024;

    /**
     * Reads a settings file.
     *
     * @param file the file
     * @return the settings
     * @throws ConfigurationException if it can't be read or is not valid
     */
    public static RouterSettings read(Path file) {
        try {
            return parse(String.valueOf(file.getFileName()), Files.readString(file));
        } catch (IOException e) {
            throw new ConfigurationException(file.toString(), "", "", "can't be read", e);
        }
    }

    static RouterSettings parse(String name, String text) {
        MergedSections merged = MergedSections.of(new TreeMap<>(Map.of(name, text)));
        Map<String, SectionReader> readers = merged.readers();
        for (String section : readers.keySet()) {
            if (!Set.of("router", "platform", "operators", "limits", "telemetry")
                    .contains(section)) {
                throw new ConfigurationException(name, section, "", "is not a known section");
            }
        }
        SectionReader router = section(readers, name, "router");
        SectionReader platform = section(readers, name, "platform");
        SectionReader operators = section(readers, name, "operators");
        SectionReader limits = section(readers, name, "limits");
        SectionReader telemetry = section(readers, name, "telemetry");
        RouterSettings settings = new RouterSettings(
                router.text("vm"),
                router.text("failure-domain"),
                router.address("callers"),
                router.address("peers"),
                router.address("admin"),
                platform.address("store"),
                platform.address("vm-list"),
                seeds(platform),
                operators.text("digest"),
                Duration.ofSeconds(limits.number("request-timeout-s", 1, DEFAULT_REQUEST_TIMEOUT_SECONDS)),
                Duration.ofSeconds(limits.number("drain-timeout-s", 1, DEFAULT_DRAIN_TIMEOUT_SECONDS)),
                Math.toIntExact(limits.number("max-body-bytes", 1, DEFAULT_MAX_BODY_BYTES)),
                telemetry.text("otlp-endpoint", ""),
                logFormat(telemetry));
        for (SectionReader reader : new SectionReader[] {router, platform, operators, limits, telemetry}) {
            reader.rejectUnknown();
        }
        return settings;
    }

    private static SectionReader section(Map<String, SectionReader> readers, String file, String section) {
        return readers.getOrDefault(section, new SectionReader(file, section, Map.of()));
    }

    private static Set<String> seeds(SectionReader platform) {
        if (platform.text("seeds", "").isEmpty()) {
            return Set.of();
        }
        Set<String> seeds = new LinkedHashSet<>();
        for (String seed : platform.names("seeds")) {
            HostPort address = HostPort.parse(seed)
                    .orElseThrow(() -> platform.error("seeds", "'" + seed + "' is not an IP number with a port"));
            seeds.add(address.toString());
        }
        return seeds;
    }

    private static String logFormat(SectionReader telemetry) {
        String format = telemetry.text("log-format", "text");
        if (!Set.of("text", "json").contains(format)) {
            throw telemetry.error("log-format", "must be text or json, not '" + format + "'");
        }
        return format;
    }
}
