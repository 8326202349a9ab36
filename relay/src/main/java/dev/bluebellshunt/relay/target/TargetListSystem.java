package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.Every;
import dev.bluebellshunt.relay.store.SharedStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the registered targets at intervals. */
public final class TargetListSystem implements ControlSystem {

    private static final Logger log = LoggerFactory.getLogger("targets");

    private final SharedStore store;
    private final TargetDirectory directory;
    private final ControlExecutor control;
    private final Every interval;
    private boolean calling;

    /**
     * Creates a system that reads for the first time at its first tick.
     *
     * @param store the store
     * @param directory takes the listings
     * @param control the control thread
     * @param interval how often to read
     */
    public TargetListSystem(SharedStore store, TargetDirectory directory, ControlExecutor control, Every interval) {
        this.store = store;
        this.directory = directory;
        this.control = control;
        this.interval = interval;
    }

    @Override
    public void tick() {
        if (calling || !interval.isDue()) {
            return;
        }
        calling = true;
        control.await(
                store.readTargets(),
                listing -> {
                    calling = false;
                    directory.update(listing);
                },
                failure -> {
                    calling = false;
                    directory.storeAway();
                    log.debug("The targets could not be read: {}", failure.toString());
                });
    }
}
