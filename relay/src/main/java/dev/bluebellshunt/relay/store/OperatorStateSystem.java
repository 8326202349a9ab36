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
import java.util.concurrent.TimeUnit;
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
    static final Duration WATCH_TIMEOUT = Duration.ofMillis(1_200);

    /**
     * Time after the timeout of a watch until which it counts as alive. A VM that follows this one asks several times in it. If the
     * watch has failed, it reads the store itself afterwards, within the time for applying a configuration.
     */
    static final Duration WATCH_RESPONSE_TIME = Duration.ofMillis(600);

    /** Delay after a failed call, to avoid calling an unavailable store in a tight loop. */
    static final Duration RETRY_DELAY = Duration.ofMillis(200);

    /**
     * Maximum age of a copy from another VM. That VM's own copy reaches twice the timeout of a watch, and reports add
     * some hundred milliseconds; a read of the store must still fit into the time for revoking a key.
     */
    static final Duration MAX_PEER_AGE = Duration.ofMillis(3_200);

    /** Retention of superseded versions; exceeds every deadline for new weights. The latest older one is kept as well. */
    static final Duration VERSION_RETENTION = Duration.ofMinutes(1);

    /** Assumed age of the versions found at startup, unless another VM knows that they are newer. */
    static final Duration INITIAL_VERSION_AGE = Duration.ofHours(1);

    /** Exceeds the uncertainty about the time of a publication on a VM that reads the targets regularly. */
    static final Duration MAX_PUBLICATION_UNCERTAINTY = Duration.ofSeconds(2);

    /** Time for which other VMs are asked about an uncertain publication; covers reports to several of them. */
    static final Duration PUBLICATION_QUERY_TIME = Duration.ofSeconds(3);

    private static final Logger log = LoggerFactory.getLogger("operators");

    private final SharedStore store;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final BooleanSupplier mayFollowPeer;
    private final RevisionTimes revisionTimes;
    private final Map<String, DesiredWeights> weights = new HashMap<>();
    private volatile boolean callInFlight;
    private boolean fullReadNeeded = true;
    private boolean reachable = true;
    private boolean initialized;
    private boolean following;
    private StoreRevision revision = StoreRevision.NONE;
    private long callNumber;
    private long callEra;
    private Deadline nextCall;
    private Deadline publicationQueryEnd;
    private volatile @Nullable RelayConfiguration configuration;
    private volatile Map<String, DesiredWeights> weightsSnapshot = Map.of();
    private volatile long stateAsOfNanos;
    private volatile @Nullable Snapshot snapshot;
    private volatile Deadline watchExpiry;

    /**
     * A copy of the state at one time.
     *
     * @param revision the revision of the store that the copy covers
     * @param configuration the configuration, or null if there is none or the receiver of the copy has it
     * @param weights the desired weights by model
     * @param asOfNanos the time as of which the copy was current
     */
    public record Snapshot(
            StoreRevision revision,
            @Nullable RelayConfiguration configuration,
            Map<String, DesiredWeights> weights,
            long asOfNanos) {}

    /**
     * Creates a system that starts with a full read.
     *
     * @param store the shared store
     * @param control the control thread
     * @param clock a clock that includes the time for which the VM is suspended
     * @param mayFollowPeer whether another VM has recently shown that it watches the store for this one, so that this VM
     *     calls the store only when the local copy is older than {@link #MAX_PEER_AGE}
     * @param revisionTimes when this VM read the store, to date publications
     */
    public OperatorStateSystem(
            SharedStore store,
            ControlExecutor control,
            MonotonicClock clock,
            BooleanSupplier mayFollowPeer,
            RevisionTimes revisionTimes) {
        this.store = store;
        this.control = control;
        this.clock = clock;
        this.mayFollowPeer = mayFollowPeer;
        this.revisionTimes = revisionTimes;
        this.nextCall = new Deadline(clock.nanos());
        this.publicationQueryEnd = nextCall;
        this.watchExpiry = nextCall;
    }

    @Override
    public void tick() {
        abandonCallOfEarlierEra();
        if (callInFlight || !nextCall.hasPassed(clock) || updateFollowing()) {
            return;
        }
        call();
    }

    /**
     * Cancels a call that was sent in an earlier era. Its response would come late, since a watch from a revision of that era
     * waits for one that the store has assigned again.
     */
    private void abandonCallOfEarlierEra() {
        if (callInFlight && store.era().number() != callEra) {
            callInFlight = false;
            fullReadNeeded = true;
            callNumber++;
            nextCall = new Deadline(clock.nanos());
        }
    }

    private boolean updateFollowing() {
        boolean followsPeer = initialized && mayFollowPeer.getAsBoolean() && age().compareTo(MAX_PEER_AGE) < 0;
        if (followsPeer != following) {
            following = followsPeer;
            log.info(
                    "This VM {}; the operators' state is known up to revision {} of era {} and {} ms old.",
                    followsPeer ? "stops watching the store, since a hub does" : "watches the store, since no hub does",
                    revision.number(),
                    revision.era(),
                    age().toMillis());
        }
        return followsPeer;
    }

    private void call() {
        callInFlight = true;
        long sentNanos = clock.nanos();
        callEra = store.era().number();
        fullReadNeeded |= revision.era() != callEra;
        long number = ++callNumber;
        boolean fullRead = fullReadNeeded;
        control.onCompletion(
                fullRead ? store.readOperatorState() : store.awaitOperatorChange(revision, WATCH_TIMEOUT),
                state -> {
                    if (number == callNumber) {
                        onState(state, sentNanos, fullRead);
                    }
                },
                failure -> {
                    if (number == callNumber) {
                        onFailure(failure);
                    }
                });
    }

    private void onState(OperatorState state, long sentNanos, boolean fullRead) {
        callInFlight = false;
        fullReadNeeded = false;
        if (!reachable) {
            reachable = true;
            log.info("The store answers again.");
        }
        update(state, sentNanos, fullRead);
        if (updateFollowing()) {
            return;
        }
        watchExpiry = Deadline.after(clock, WATCH_TIMEOUT.plus(WATCH_RESPONSE_TIME));
        call();
    }

    private void update(OperatorState state, long sentNanos, boolean fullRead) {
        state.weights().forEach((model, versions) -> {
            for (PublishedWeights published : versions) {
                DesiredWeights known = weights.get(model);
                if (known == null || known.version() < published.version()) {
                    setWeights(model, date(known, published, fullRead));
                }
            }
        });
        revisionTimes.record(state.revision(), sentNanos);
        adopt(state.revision(), state.configuration(), sentNanos);
    }

    /**
     * Returns newly published weights with the latest known time before their publication. A full read leaves out the
     * versions between the known one and the latest, which may have been published at any time since the previous state.
     */
    private DesiredWeights date(@Nullable DesiredWeights known, PublishedWeights published, boolean fullRead) {
        long notBeforeNanos = clock.nanos() - INITIAL_VERSION_AGE.toNanos();
        if (initialized) {
            long readNanos = fullRead
                    ? stateAsOfNanos
                    : revisionTimes.lastReadBefore(published.revision()).orElse(stateAsOfNanos);
            notBeforeNanos = readNanos - stateAsOfNanos > 0 ? readNanos : stateAsOfNanos;
        }
        if (clock.nanos() - notBeforeNanos > MAX_PUBLICATION_UNCERTAINTY.toNanos()) {
            publicationQueryEnd = Deadline.after(clock, PUBLICATION_QUERY_TIME);
        }
        return known == null
                ? new DesiredWeights(published.version(), notBeforeNanos, null)
                : known.supersededBy(published.version(), notBeforeNanos);
    }

    private void setWeights(String model, DesiredWeights desired) {
        DesiredWeights known =
                weights.put(model, desired.dropHistoryBefore(clock.nanos() - VERSION_RETENTION.toNanos()));
        if (known == null || known.version() < desired.version()) {
            log.info(
                    "Desired weights are now version {} of model {}; it was published at most {} ms ago.",
                    desired.version(),
                    model,
                    TimeUnit.NANOSECONDS.toMillis(clock.nanos() - desired.notBeforeNanos()));
        }
        weightsSnapshot = Map.copyOf(weights);
    }

    private void adopt(StoreRevision newRevision, @Nullable RelayConfiguration newConfiguration, long asOfNanos) {
        revision = revision.later(newRevision);
        adoptConfiguration(newConfiguration);
        if (!initialized || asOfNanos - stateAsOfNanos > 0) {
            stateAsOfNanos = asOfNanos;
        }
        initialized = true;
        publishSnapshot();
    }

    /** Adopts a configuration unless that is older by version, whatever the revision at which the store shows it. */
    private void adoptConfiguration(@Nullable RelayConfiguration newConfiguration) {
        RelayConfiguration current = configuration;
        if (newConfiguration != null && (current == null || newConfiguration.version() > current.version())) {
            configuration = newConfiguration;
            log.info(
                    "Configuration {} is in force; it replaces {}.",
                    newConfiguration.version(),
                    current == null ? "none" : current.version());
        }
    }

    private void publishSnapshot() {
        snapshot = new Snapshot(revision, configuration, weightsSnapshot, stateAsOfNanos);
    }

    /**
     * Adopts the state of another VM. Of a state that is older than the local copy, only newer versions and what it says about
     * the times of publications is used. A VM that read the store before its restore may know newer versions than the store.
     *
     * @param state the state, with times on the clock of this VM that are not later than the actual ones
     */
    public void learn(Snapshot state) {
        state.weights().forEach((model, desired) -> {
            DesiredWeights known = weights.get(model);
            setWeights(
                    model,
                    initialized ? DesiredWeights.merge(known, stateAsOfNanos, desired, state.asOfNanos()) : desired);
        });
        if (initialized
                && (state.asOfNanos() - stateAsOfNanos <= 0 || state.revision().era() < revision.era())) {
            adoptConfiguration(state.configuration());
            publishSnapshot();
            return;
        }
        adopt(state.revision(), state.configuration(), state.asOfNanos());
    }

    /**
     * Returns whether other VMs may know better when the latest weights were published.
     *
     * @return true if this VM should ask another one
     */
    public boolean isPublicationUncertain() {
        return !publicationQueryEnd.hasPassed(clock);
    }

    /**
     * Returns the local copy for other VMs. Thread-safe.
     *
     * @return the copy, or empty before the first read
     */
    public Optional<Snapshot> snapshot() {
        return Optional.ofNullable(snapshot);
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
     * Returns the time for which the watch of this VM counts as alive: until the store has to respond to it. Thread-safe.
     *
     * @return the remaining time, zero if the watch is overdue or there is none
     */
    public Duration watchTimeLeft() {
        return watchExpiry.remaining(clock);
    }

    /**
     * Returns whether this VM has a call to the store in flight that reads the operators' state.
     *
     * @return false while another VM reads it for this one, and between two attempts
     */
    public boolean isReadingStore() {
        return callInFlight;
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
