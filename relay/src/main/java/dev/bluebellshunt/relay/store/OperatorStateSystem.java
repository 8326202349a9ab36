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
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows what operators write to the store, and knows how old its knowledge may be.
 *
 * <p>One call is under way at any time: a read of everything after a start or a failure, else a watch
 * that the store answers at the first change or after a while. The knowledge is as of when the last
 * answered call was sent, so it stays fresh only while answers come. Owned by the control thread; the
 * accessors may be called by all threads.
 */
public final class OperatorStateSystem implements ControlSystem {

    /**
     * How long a watch may wait: the knowledge grows at most twice this old, and a round trip more. It is longer
     * than a store that loses its history may hold back changes before it cuts the watch.
     */
    static final Duration WATCH_WAIT = Duration.ofMillis(1_400);

    /** Pause after a failed call, so that a store that is down isn't called in a tight loop. */
    static final Duration RETRY_PAUSE = Duration.ofMillis(200);

    /** Versions that were named longer ago than any bound for new weights are forgotten, but for the last one. */
    static final Duration HISTORY = Duration.ofMinutes(1);

    /** What a VM finds at its start may have been named at any time before. */
    static final Duration LONG_AGO = Duration.ofHours(1);

    private static final Logger log = LoggerFactory.getLogger("operators");

    private final SharedStore store;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final Map<String, NamedWeights> weights = new HashMap<>();
    private boolean calling;
    private boolean needsRead = true;
    private boolean reachable = true;
    private boolean knowsAll;
    private long revision;
    private Deadline nextCall;
    private volatile @Nullable RelayConfiguration configuration;
    private volatile Map<String, NamedWeights> weightsSnapshot = Map.of();
    private volatile long knownAsOfNanos;

    /**
     * A version of a model's weights that operators named.
     *
     * @param version the version
     * @param sinceNanos when this VM learned of it; long ago for what it found at its start
     * @param before the version named before it, null where none is known or that time no longer matters
     */
    public record NamedWeights(
            long version, long sinceNanos, @Nullable NamedWeights before) {

        /**
         * The newest version that was named before a time.
         *
         * @param nanos the time
         * @return that version, zero where none was
         */
        public long asOf(long nanos) {
            for (NamedWeights named = this; named != null; named = named.before) {
                if (named.sinceNanos - nanos <= 0) {
                    return named.version;
                }
            }
            return 0;
        }

        private NamedWeights since(long nanos) {
            if (before == null) {
                return this;
            }
            boolean ends = before.sinceNanos - nanos <= 0;
            NamedWeights kept = ends ? new NamedWeights(before.version, before.sinceNanos, null) : before.since(nanos);
            return new NamedWeights(version, sinceNanos, kept);
        }
    }

    /**
     * Creates a system that knows nothing.
     *
     * @param store the store
     * @param control the control thread
     * @param clock a clock that counts the time in which the VM is suspended
     */
    public OperatorStateSystem(SharedStore store, ControlExecutor control, MonotonicClock clock) {
        this.store = store;
        this.control = control;
        this.clock = clock;
        this.nextCall = new Deadline(clock.nanos());
    }

    @Override
    public void tick() {
        if (calling || !nextCall.hasPassed(clock)) {
            return;
        }
        call();
    }

    private void call() {
        calling = true;
        long sentNanos = clock.nanos();
        boolean whole = needsRead;
        control.await(
                whole ? store.readOperatorState() : store.awaitOperatorChange(revision, WATCH_WAIT),
                state -> answered(state, sentNanos),
                this::failed);
    }

    private void answered(OperatorState state, long sentNanos) {
        calling = false;
        needsRead = false;
        if (!reachable) {
            reachable = true;
            log.info("The store answers again.");
        }
        revision = Math.max(revision, state.revision());
        apply(state);
        knowsAll = true;
        knownAsOfNanos = sentNanos;
        call();
    }

    private void apply(OperatorState state) {
        RelayConfiguration newer = state.configuration();
        RelayConfiguration known = configuration;
        if (newer != null && (known == null || newer.version() > known.version())) {
            configuration = newer;
            log.info(
                    "Configuration {} is in force; it replaces {}.",
                    newer.version(),
                    known == null ? "none" : known.version());
        }
        boolean changed = false;
        for (Map.Entry<String, Long> named : state.weights().entrySet()) {
            NamedWeights before = weights.get(named.getKey());
            if (before == null || before.version() < named.getValue()) {
                long sinceNanos = knowsAll ? clock.nanos() : clock.nanos() - LONG_AGO.toNanos();
                NamedWeights next = new NamedWeights(named.getValue(), sinceNanos, before);
                weights.put(named.getKey(), next.since(clock.nanos() - HISTORY.toNanos()));
                changed = true;
                log.info("Weights {} of model {} are named.", named.getValue(), named.getKey());
            }
        }
        if (changed) {
            weightsSnapshot = Map.copyOf(weights);
        }
    }

    private void failed(Throwable failure) {
        calling = false;
        needsRead = true;
        nextCall = Deadline.after(clock, RETRY_PAUSE);
        if (failure instanceof HistoryLostException) {
            log.info("The store's history is lost; everything is read anew.");
            nextCall = new Deadline(clock.nanos());
            return;
        }
        if (reachable) {
            reachable = false;
            log.warn("The store does not answer: {}", failure.toString());
        }
    }

    /**
     * The newest configuration that is known.
     *
     * @return the configuration, or empty before the first
     */
    public Optional<RelayConfiguration> configuration() {
        return Optional.ofNullable(configuration);
    }

    /**
     * The newest weights that are named for each model.
     *
     * @return versions by model
     */
    public Map<String, NamedWeights> weights() {
        return weightsSnapshot;
    }

    /**
     * How old the knowledge may be.
     *
     * @return the time since the last answered call was sent; meaningless before the first configuration
     */
    public Duration age() {
        return Duration.ofNanos(clock.nanos() - knownAsOfNanos);
    }
}
