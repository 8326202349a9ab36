package dev.bluebellshunt.relay.store;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches the operators' state in the store, and tracks how stale the local copy may be.
 *
 * <p>At most one call is in flight: a full read after startup or a failure, otherwise a watch that returns at
 * the first change or after a timeout. The local copy is current as of the time at which the last successful
 * call was sent, so its age grows while the store does not respond. A VM may also adopt the state of another VM, with
 * the age that it has there. Confined to the control thread, except for
 * the accessors, which are thread-safe.
 */
public final class OperatorStateSystem implements ControlSystem {

    /**
     * Timeout of a watch. The age of the local copy is at most twice the timeout, plus a round trip. The timeout exceeds the
     * time for which a store that loses its history may delay changes before it cancels the watch.
     */
    static final Duration WATCH_TIMEOUT = Duration.ofMillis(1_400);

    /** Delay after a failed call, to avoid calling an unavailable store in a tight loop. */
    static final Duration RETRY_DELAY = Duration.ofMillis(200);

    /**
     * Maximum age of a copy from another VM. That VM's own copy reaches twice the timeout of a watch, and reports add
     * some hundred milliseconds; a read of the store must still fit into the time for revoking a key.
     */
    static final Duration MAX_PEER_AGE = Duration.ofMillis(3_200);

    /** Retention of superseded versions; exceeds every deadline for new weights. The latest older one is kept as well. */
    static final Duration VERSION_RETENTION = Duration.ofMinutes(1);

    /** Assumed age of the versions found at startup, since the time at which they were set is unknown. */
    static final Duration INITIAL_VERSION_AGE = Duration.ofHours(1);

    private static final Logger log = LoggerFactory.getLogger("operators");

    private final SharedStore store;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final BooleanSupplier mayFollowPeer;
    private final Map<String, DesiredWeights> weights = new HashMap<>();
    private boolean callInFlight;
    private boolean fullReadNeeded = true;
    private boolean reachable = true;
    private boolean initialized;
    private long revision;
    private Deadline nextCall;
    private volatile @Nullable RelayConfiguration configuration;
    private volatile Map<String, DesiredWeights> weightsSnapshot = Map.of();
    private volatile long stateAsOfNanos;
    private volatile @Nullable Snapshot snapshot;

    /**
     * The local copy at one time.
     *
     * @param state the state, with the full configuration
     * @param asOfNanos the time as of which the state was current
     */
    public record Snapshot(OperatorState state, long asOfNanos) {}

    /**
     * A version of a model's weights that operators have set as the desired one.
     *
     * @param version the version
     * @param learnedNanos when this VM learned of the version; {@link #INITIAL_VERSION_AGE} before startup for
     *     versions found at startup
     * @param previous the version that it superseded, or null if none is known or it is past its retention
     */
    public record DesiredWeights(
            long version, long learnedNanos, @Nullable DesiredWeights previous) {

        /**
         * Returns the latest version that was known at a given time.
         *
         * @param nanos the time
         * @return the version, or zero if none was known
         */
        public long asOf(long nanos) {
            for (DesiredWeights weights = this; weights != null; weights = weights.previous) {
                if (weights.learnedNanos - nanos <= 0) {
                    return weights.version;
                }
            }
            return 0;
        }

        /**
         * Returns when this VM learned that a version had been superseded.
         *
         * @param older the version
         * @return the time, or empty if no newer version is known
         */
        public OptionalLong supersededNanos(long older) {
            OptionalLong superseded = OptionalLong.empty();
            for (DesiredWeights weights = this;
                    weights != null && weights.version > older;
                    weights = weights.previous) {
                superseded = OptionalLong.of(weights.learnedNanos);
            }
            return superseded;
        }

        private DesiredWeights dropHistoryBefore(long nanos) {
            if (previous == null) {
                return this;
            }
            boolean isLast = previous.learnedNanos - nanos <= 0;
            DesiredWeights retained = isLast
                    ? new DesiredWeights(previous.version, previous.learnedNanos, null)
                    : previous.dropHistoryBefore(nanos);
            return new DesiredWeights(version, learnedNanos, retained);
        }
    }

    /**
     * Creates a system that starts with a full read.
     *
     * @param store the shared store
     * @param control the control thread
     * @param clock a clock that includes the time for which the VM is suspended
     * @param mayFollowPeer whether another VM watches the store for this one, so that this VM calls the store only
     *     when the local copy is older than {@link #MAX_PEER_AGE}
     */
    public OperatorStateSystem(
            SharedStore store, ControlExecutor control, MonotonicClock clock, BooleanSupplier mayFollowPeer) {
        this.store = store;
        this.control = control;
        this.clock = clock;
        this.mayFollowPeer = mayFollowPeer;
        this.nextCall = new Deadline(clock.nanos());
    }

    @Override
    public void tick() {
        if (callInFlight || !nextCall.hasPassed(clock) || followsPeer()) {
            return;
        }
        call();
    }

    private boolean followsPeer() {
        return initialized && mayFollowPeer.getAsBoolean() && age().compareTo(MAX_PEER_AGE) < 0;
    }

    private void call() {
        callInFlight = true;
        long sentNanos = clock.nanos();
        boolean fullRead = fullReadNeeded;
        control.onCompletion(
                fullRead ? store.readOperatorState() : store.awaitOperatorChange(revision, WATCH_TIMEOUT),
                state -> onState(state, sentNanos),
                this::onFailure);
    }

    private void onState(OperatorState state, long sentNanos) {
        callInFlight = false;
        fullReadNeeded = false;
        if (!reachable) {
            reachable = true;
            log.info("The store answers again.");
        }
        update(state, sentNanos);
        if (!followsPeer()) {
            call();
        }
    }

    private void update(OperatorState state, long asOfNanos) {
        revision = Math.max(revision, state.revision());
        apply(state);
        if (!initialized || asOfNanos - stateAsOfNanos > 0) {
            stateAsOfNanos = asOfNanos;
        }
        initialized = true;
        Map<String, Long> versions = new HashMap<>();
        weights.forEach((model, desired) -> versions.put(model, desired.version()));
        snapshot = new Snapshot(new OperatorState(revision, configuration, versions), stateAsOfNanos);
    }

    /**
     * Adopts the state of another VM. An older state than the local copy changes nothing.
     *
     * @param state the state; its configuration is null if this VM has it already
     * @param asOfNanos the time as of which it was current, on the clock of this VM
     */
    public void learn(OperatorState state, long asOfNanos) {
        if (initialized && asOfNanos - stateAsOfNanos <= 0) {
            return;
        }
        update(state, asOfNanos);
    }

    /**
     * Returns the local copy for other VMs. Thread-safe.
     *
     * @return the copy, or empty before the first read
     */
    public Optional<Snapshot> snapshot() {
        return Optional.ofNullable(snapshot);
    }

    private void apply(OperatorState state) {
        RelayConfiguration newer = state.configuration();
        RelayConfiguration current = configuration;
        if (newer != null && (current == null || newer.version() > current.version())) {
            configuration = newer;
            log.info(
                    "Configuration {} is in force; it replaces {}.",
                    newer.version(),
                    current == null ? "none" : current.version());
        }
        boolean changed = false;
        for (Map.Entry<String, Long> entry : state.weights().entrySet()) {
            DesiredWeights previous = weights.get(entry.getKey());
            if (previous == null || previous.version() < entry.getValue()) {
                long learnedNanos = initialized ? clock.nanos() : clock.nanos() - INITIAL_VERSION_AGE.toNanos();
                DesiredWeights next = new DesiredWeights(entry.getValue(), learnedNanos, previous);
                weights.put(entry.getKey(), next.dropHistoryBefore(clock.nanos() - VERSION_RETENTION.toNanos()));
                changed = true;
                log.info(
                        "Desired weights are now version {} of model {}; the previous state was {}.",
                        entry.getValue(),
                        entry.getKey(),
                        initialized ? age().toMillis() + " ms old" : "unknown");
            }
        }
        if (changed) {
            weightsSnapshot = Map.copyOf(weights);
        }
    }

    private void onFailure(Throwable failure) {
        callInFlight = false;
        fullReadNeeded = true;
        nextCall = Deadline.after(clock, RETRY_DELAY);
        if (failure instanceof HistoryLostException) {
            log.info("The store has lost its history; reading the full state.");
            nextCall = new Deadline(clock.nanos());
            return;
        }
        if (reachable) {
            reachable = false;
            log.warn("The store does not answer: {}", failure.toString());
        }
    }

    /**
     * Returns the latest known configuration.
     *
     * @return the configuration, or empty if none has been read yet
     */
    public Optional<RelayConfiguration> configuration() {
        return Optional.ofNullable(configuration);
    }

    /**
     * Returns the desired weights of each model.
     *
     * @return an immutable snapshot by model
     */
    public Map<String, DesiredWeights> weights() {
        return weightsSnapshot;
    }

    /**
     * Returns the maximum age of the local copy.
     *
     * @return the time since the last successful call was sent; undefined before the first configuration
     */
    public Duration age() {
        return Duration.ofNanos(clock.nanos() - stateAsOfNanos);
    }
}
