package dev.bluebellshunt.relay.quarantine;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.relay.store.SharedRecord;
import dev.bluebellshunt.relay.store.SharedStore;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the quarantines of which this VM has observed a crash to the store, and reads all quarantines after startup.
 *
 * <p>VMs report crashes to each other directly. The store is needed only when all VMs restart at once. Confined to the
 * control thread.
 */
public final class QuarantineSystem implements ControlSystem {

    /** Prefix of the keys of quarantine records. */
    static final String KEY_PREFIX = "bluebellshunt/quarantine/";

    /** Lifetime of a record; longer than the first quarantines of a request, and written again after further crashes. */
    static final Duration RECORD_LIFETIME = Duration.ofMinutes(10);

    /** Reads after startup; a read may return a state from before the last writes, so a later one follows the first. */
    static final int STARTUP_READS = 3;

    private static final Logger log = LoggerFactory.getLogger("quarantine");

    private final SharedStore store;
    private final CrashSuspects crashSuspects;
    private final ControlExecutor control;
    private final JitteredTimer interval;
    private final Map<Long, Set<String>> written = new HashMap<>();
    private int remainingReads = STARTUP_READS;
    private boolean callInFlight;

    /**
     * Creates a system that reads the store at its first tick.
     *
     * @param store the store
     * @param crashSuspects provides and receives the quarantines
     * @param control the control thread
     * @param interval the interval between calls
     */
    public QuarantineSystem(
            SharedStore store, CrashSuspects crashSuspects, ControlExecutor control, JitteredTimer interval) {
        this.store = store;
        this.crashSuspects = crashSuspects;
        this.control = control;
        this.interval = interval;
    }

    @Override
    public void tick() {
        if (callInFlight || !interval.isDue()) {
            return;
        }
        if (remainingReads > 0) {
            read();
            return;
        }
        Map<Long, Map<String, String>> quarantines = crashSuspects.observedQuarantines();
        written.keySet().retainAll(quarantines.keySet());
        for (Map.Entry<Long, Map<String, String>> quarantine : quarantines.entrySet()) {
            Set<String> targets = Set.copyOf(quarantine.getValue().keySet());
            if (!targets.equals(written.get(quarantine.getKey()))) {
                write(quarantine.getKey(), quarantine.getValue(), targets);
                return;
            }
        }
    }

    private void read() {
        callInFlight = true;
        control.onCompletion(
                store.readRecords(KEY_PREFIX),
                records -> {
                    callInFlight = false;
                    remainingReads--;
                    merge(records);
                },
                failure -> {
                    callInFlight = false;
                    log.debug("Could not read the quarantined requests: {}", failure.toString());
                });
    }

    private void merge(List<SharedRecord> records) {
        for (SharedRecord stored : records) {
            try {
                crashSuspects.mergeReport(
                        Json.read(stored.value(), QuarantineRecord.class).crashes());
            } catch (IllegalArgumentException e) {
                log.warn("Ignoring malformed quarantine record {}: {}", stored.key(), e.getMessage());
            }
        }
    }

    private void write(long fingerprint, Map<String, String> crashes, Set<String> targets) {
        callInFlight = true;
        String key = KEY_PREFIX + Long.toHexString(fingerprint);
        String value = Json.write(new QuarantineRecord(Map.of(fingerprint, crashes)));
        control.onCompletion(
                store.grantLease(RECORD_LIFETIME).thenCompose(lease -> store.putRecord(key, value, lease)),
                done -> {
                    callInFlight = false;
                    written.put(fingerprint, targets);
                    log.info(
                            "Request {} is quarantined; targets crashed while running it: {}.",
                            Long.toHexString(fingerprint),
                            targets);
                },
                failure -> {
                    callInFlight = false;
                    log.warn(
                            "Could not store the quarantine of request {}: {}",
                            Long.toHexString(fingerprint),
                            failure.toString());
                });
    }
}
