package dev.bluebellshunt.relay.cache;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Polls the prompt cache store for changes, and detects when it is unavailable. */
public final class PromptCacheStoreSystem implements ControlSystem {

    /** Long-poll timeout; within the maximum that the store accepts, and short compared with an outage. */
    static final Duration POLL_TIMEOUT = Duration.ofMillis(900);

    /** Minimum interval between two calls; bounds the call rate when changes arrive continuously. */
    static final Duration POLL_INTERVAL = Duration.ofMillis(500);

    private static final Logger log = LoggerFactory.getLogger("cache");

    private final PromptCacheStoreClient client;
    private final PromptCacheStoreIndex index;
    private final OperatorStateSystem operators;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final BooleanSupplier followsPeer;
    private boolean callInFlight;
    private boolean available;
    private long epoch;
    private long next;
    private String currentAddress = "";
    private Deadline nextCall;

    /**
     * Creates a system that starts polling when the configuration contains a store.
     *
     * @param client the client of the store
     * @param index receives the changes
     * @param operators provides the configured address of the store
     * @param control the control thread
     * @param clock the time source
     * @param followsPeer whether this VM copies the index of another VM, and does not poll
     */
    public PromptCacheStoreSystem(
            PromptCacheStoreClient client,
            PromptCacheStoreIndex index,
            OperatorStateSystem operators,
            ControlExecutor control,
            MonotonicClock clock,
            BooleanSupplier followsPeer) {
        this.client = client;
        this.index = index;
        this.operators = operators;
        this.control = control;
        this.clock = clock;
        this.followsPeer = followsPeer;
        this.nextCall = new Deadline(clock.nanos());
    }

    @Override
    public void tick() {
        if (callInFlight || !nextCall.hasPassed(clock)) {
            return;
        }
        if (followsPeer.getAsBoolean()) {
            next = 0;
            return;
        }
        Optional<String> address = operators
                .configuration()
                .flatMap(configuration ->
                        configuration.cacheStores().stream().sorted().findFirst());
        if (address.isEmpty()) {
            index.markUnavailable();
            return;
        }
        if (!address.get().equals(currentAddress)) {
            currentAddress = address.get();
            next = 0;
        }
        call(currentAddress);
    }

    private void call(String address) {
        callInFlight = true;
        nextCall = Deadline.after(clock, POLL_INTERVAL);
        control.onCompletion(
                client.awaitChanges(address, next, POLL_TIMEOUT),
                batch -> {
                    callInFlight = false;
                    if (!available || epoch != batch.epoch()) {
                        log.info("The prompt cache store at {} is available, epoch {}.", address, batch.epoch());
                    }
                    available = true;
                    epoch = batch.epoch();
                    next = batch.next();
                    index.applyChanges(address, batch);
                },
                failure -> {
                    callInFlight = false;
                    if (available) {
                        log.warn("The prompt cache store at {} is unavailable: {}", address, failure.toString());
                    }
                    available = false;
                    next = 0;
                    index.markUnavailable();
                });
    }
}
