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
 * Settings of a router process.
 *
 * @param vm the VM's name
 * @param failureDomain the VM's failure domain
 * @param callerAddress listen address for callers
 * @param peerAddress listen address for peers
 * @param adminAddress listen address for the administration API, metrics and health checks
 * @param storeAddress address of the key-value service
 * @param vmListAddress address of the platform's VM list
 * @param seedAddresses addresses of peers to contact at startup while the VM list is unavailable
 * @param operatorDigest salt and digest of the operator credential for the administration API
 * @param requestTimeout maximum duration of a caller's request
 * @param drainTimeout maximum time that a planned shutdown waits for open requests
 * @param maxBodyBytes maximum size of a request body
 * @param otlpEndpoint endpoint to export spans to, or empty to disable the export
 * @param logFormat the log format, {@code text} or {@code json}
 */
public record RouterSettings(
        String vm,
        String failureDomain,
        HostPort callerAddress,
        HostPort peerAddress,
        HostPort adminAddress,
        HostPort storeAddress,
        HostPort vmListAddress,
        Set<String> seedAddresses,
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
     * @param file the settings file
     * @return the settings
     * @throws ConfigurationException if the file cannot be read or is invalid
     */
    public static RouterSettings read(Path file) {
        try {
            return parse(String.valueOf(file.getFileName()), Files.readString(file));
        } catch (IOException e) {
            throw new ConfigurationException(file.toString(), "", "", "cannot be read", e);
        }
    }

    static RouterSettings parse(String name, String text) {
        MergedSections merged = MergedSections.of(new TreeMap<>(Map.of(name, text)));
        Map<String, SectionReader> readers = merged.readers();
        for (String section : readers.keySet()) {
            if (!Set.of("router", "platform", "operators", "limits", "telemetry")
                    .contains(section)) {
                throw new ConfigurationException(name, section, "", "unknown section");
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
                seedAddresses(platform),
                operators.text("digest"),
                Duration.ofSeconds(limits.number("request-timeout-s", 1, DEFAULT_REQUEST_TIMEOUT_SECONDS)),
                Duration.ofSeconds(limits.number("drain-timeout-s", 1, DEFAULT_DRAIN_TIMEOUT_SECONDS)),
                Math.toIntExact(limits.number("max-body-bytes", 1, DEFAULT_MAX_BODY_BYTES)),
                telemetry.text("otlp-endpoint", ""),
                logFormat(telemetry));
        for (SectionReader reader : new SectionReader[] {router, platform, operators, limits, telemetry}) {
            reader.rejectUnknownKeys();
        }
        return settings;
    }

    private static SectionReader section(Map<String, SectionReader> readers, String file, String section) {
        return readers.getOrDefault(section, new SectionReader(file, section, Map.of()));
    }

    private static Set<String> seedAddresses(SectionReader platform) {
        if (platform.text("seeds", "").isEmpty()) {
            return Set.of();
        }
        Set<String> seeds = new LinkedHashSet<>();
        for (String seed : platform.names("seeds")) {
            HostPort address = HostPort.parse(seed)
                    .orElseThrow(() -> platform.error("seeds", "'" + seed + "' is not an IP address with a port"));
            seeds.add(address.toString());
        }
        return seeds;
    }

    private static String logFormat(SectionReader telemetry) {
        String format = telemetry.text("log-format", "text");
        if (!Set.of("text", "json").contains(format)) {
            throw telemetry.error("log-format", "must be 'text' or 'json', not '" + format + "'");
        }
        return format;
    }
}
