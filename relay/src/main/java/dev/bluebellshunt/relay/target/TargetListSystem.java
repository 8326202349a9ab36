package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.store.SharedStore;
import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Periodically reads the registered targets from the store. */
public final class TargetListSystem implements ControlSystem {

    private static final Logger log = LoggerFactory.getLogger("targets");

    private final SharedStore store;
    private final TargetDirectory directory;
    private final RegistrationMonitor registrations;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final JitteredTimer pollInterval;
    private boolean readPending;

    /**
     * Creates a system that reads for the first time at its first tick.
     *
     * @param store the store
     * @param directory the directory to update
     * @param crashSuspects the table from which crashes of running targets are cleared
     * @param entryLifetime the time after which the store removes the entry of a target that has ended
     * @param control the executor of the control thread
     * @param clock the time source
     * @param pollInterval the interval between reads
     */
    public TargetListSystem(
            SharedStore store,
            TargetDirectory directory,
            CrashSuspects crashSuspects,
            Duration entryLifetime,
            ControlExecutor control,
            MonotonicClock clock,
            JitteredTimer pollInterval) {
        this.store = store;
        this.directory = directory;
        this.registrations = new RegistrationMonitor(crashSuspects, entryLifetime);
        this.control = control;
        this.clock = clock;
        this.pollInterval = pollInterval;
    }

    @Override
    public void tick() {
        if (readPending || !pollInterval.isDue()) {
            return;
        }
        readPending = true;
        long sentNanos = clock.nanos();
        control.onCompletion(
                store.readTargets(),
                listing -> {
                    readPending = false;
                    directory.update(listing);
                    registrations.update(listing, sentNanos);
                },
                failure -> {
                    readPending = false;
                    directory.recordStoreFailure();
                    registrations.recordStoreFailure();
                    log.debug("Failed to read the registered targets: {}", failure.toString());
                });
    }
}
