package dev.bluebellshunt.relay.quarantine;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.relay.store.SharedRecord;
import dev.bluebellshunt.relay.store.SharedStore;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the quarantines of which this VM has observed a crash to the store, and reads all quarantines after startup.
 *
 * <p>VMs report crashes to each other directly. The store is needed only when all VMs restart at once. Each VM writes its
 * quarantines again after a restore of the store, which may have undone earlier writes. Confined to the
 * control thread.
 */
public final class QuarantineSystem implements ControlSystem {

    /** Lifetime of a record; longer than the first quarantines of a request, and written again after further crashes. */
    static final Duration RECORD_LIFETIME = Duration.ofMinutes(10);

    /** Reads after startup; a read may return a state from before the last writes, so a later one follows the first. */
    static final int STARTUP_READS = 3;

    private static final Logger log = LoggerFactory.getLogger("quarantine");

    private final SharedStore store;
    private final QuarantineTable table;
    private final ControlExecutor control;
    private final JitteredTimer interval;
    private final Map<String, Set<String>> written = new HashMap<>();
    private int remainingReads = STARTUP_READS;
    private long writtenEra;
    private boolean callInFlight;

    /**
     * Creates a system that reads the store at its first tick.
     *
     * @param store the store
     * @param table provides and receives the quarantines
     * @param control the control thread
     * @param interval the interval between calls
     */
    public QuarantineSystem(SharedStore store, QuarantineTable table, ControlExecutor control, JitteredTimer interval) {
        this.store = store;
        this.table = table;
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
        if (store.era().number() != writtenEra) {
            writtenEra = store.era().number();
            written.clear();
        }
        List<QuarantineTable.Quarantine> quarantines = table.observed();
        written.keySet()
                .retainAll(quarantines.stream()
                        .map(QuarantineTable.Quarantine::name)
                        .collect(Collectors.toSet()));
        for (QuarantineTable.Quarantine quarantine : quarantines) {
            if (!quarantine.crashes().equals(written.get(quarantine.name()))) {
                write(quarantine);
                return;
            }
        }
    }

    private void read() {
        callInFlight = true;
        control.onCompletion(
                store.readRecords(table.keyPrefix()),
                records -> {
                    callInFlight = false;
                    remainingReads--;
                    merge(records);
                },
                failure -> {
                    callInFlight = false;
                    log.debug("Could not read the quarantines {}: {}", table.keyPrefix(), failure.toString());
                });
    }

    private void merge(List<SharedRecord> records) {
        for (SharedRecord stored : records) {
            try {
                table.merge(stored.value());
            } catch (IllegalArgumentException e) {
                log.warn("Ignoring malformed quarantine record {}: {}", stored.key(), e.getMessage());
            }
        }
    }

    private void write(QuarantineTable.Quarantine quarantine) {
        callInFlight = true;
        String key = table.keyPrefix() + Long.toHexString(Hashing.komihash5_0().hashCharsToLong(quarantine.name()));
        Set<String> crashes = Set.copyOf(quarantine.crashes());
        long era = writtenEra;
        control.onCompletion(
                store.grantLease(RECORD_LIFETIME).thenCompose(lease -> store.putRecord(key, quarantine.value(), lease)),
                done -> {
                    callInFlight = false;
                    if (store.era().number() == era) {
                        written.put(quarantine.name(), crashes);
                    }
                    log.info(
                            "{}{} is quarantined; targets crashed while running it: {}.",
                            table.keyPrefix(),
                            quarantine.name(),
                            crashes);
                },
                failure -> {
                    callInFlight = false;
                    log.warn(
                            "Could not store the quarantine {}{}: {}",
                            table.keyPrefix(),
                            quarantine.name(),
                            failure.toString());
                });
    }
}
