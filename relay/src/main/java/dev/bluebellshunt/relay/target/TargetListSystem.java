package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.relay.store.SharedStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Periodically reads the registered targets from the store. */
public final class TargetListSystem implements ControlSystem {

    private static final Logger log = LoggerFactory.getLogger("targets");

    private final SharedStore store;
    private final TargetDirectory directory;
    private final ControlExecutor control;
    private final JitteredTimer pollInterval;
    private boolean readPending;

    /**
     * Creates a system that reads for the first time at its first tick.
     *
     * @param store the store
     * @param directory the directory to update
     * @param control the executor of the control thread
     * @param pollInterval the interval between reads
     */
    public TargetListSystem(
            SharedStore store, TargetDirectory directory, ControlExecutor control, JitteredTimer pollInterval) {
        this.store = store;
        this.directory = directory;
        this.control = control;
        this.pollInterval = pollInterval;
    }

    @Override
    public void tick() {
        if (readPending || !pollInterval.isDue()) {
            return;
        }
        readPending = true;
        control.onCompletion(
                store.readTargets(),
                listing -> {
                    readPending = false;
                    directory.update(listing);
                },
                failure -> {
                    readPending = false;
                    directory.recordStoreFailure();
                    log.debug("Failed to read the registered targets: {}", failure.toString());
                });
    }
}
