package dev.bluebellshunt.core.spread;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.member.MemberTable;
import dev.bluebellshunt.core.member.PeerClient;
import dev.bluebellshunt.core.member.RendezvousHash;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.store.KeyValueStore;
import dev.bluebellshunt.core.store.StoreEntry;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Distributes and activates configuration revisions on this VM.
 *
 * <p>A few VMs, selected by rendezvous hashing, watch the store. All others learn of a new revision
 * through gossip and fetch it from a peer. They read the store themselves only while no VM has reached
 * it recently. A revision is only ever replaced by a higher one.
 */
public final class ConfigurationSystem implements ControlSystem {

    /** Store key of the current configuration. */
    public static final String STORE_KEY = "configuration/current";

    /** Number of VMs that watch the store at the same time, independent of the fleet size. */
    static final int WATCHERS = 3;

    /** Time for which this VM serves keyed requests without evidence that its revision is the latest. */
    public static final Duration STALE_AFTER = Duration.ofSeconds(10);

    /** Mean interval between reads of the store while no VM reaches it. */
    static final Duration STORE_PROBE_INTERVAL = Duration.ofSeconds(2);

    /** Mean interval between checks whether this VM is one of the watchers. */
    private static final Duration WATCHER_CHECK_INTERVAL = Duration.ofSeconds(1);

    private static final Duration STORE_CONTACT_TIMEOUT = Duration.ofSeconds(5);
    private static final long UNKNOWN_AGE = -1;

    private final KeyValueStore store;
    private final MemberTable members;
    private final PeerClient peers;
    private final ConfigurationParser parser;
    private final Consumer<FleetConfiguration> activationListener;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final JitteredTimer storeProbeTimer;
    private final JitteredTimer watcherCheckTimer;

    private ConfigurationPayload current = ConfigurationPayload.NONE;
    private boolean readPending;
    private boolean watcher;
    private long fetchingRevision;
    private boolean storeContactKnown;
    private long storeContactNanos;
    private @Nullable Deadline majorityEvidenceEnd;

    /**
     * Creates the system.
     *
     * @param store the key-value store
     * @param members the table of members
     * @param peers client for calls to peers
     * @param parser the payload parser
     * @param activationListener called on the control thread with each activated revision
     * @param control executor of the control thread
     * @param clock the clock
     * @param random the random source for jitter
     */
    public ConfigurationSystem(
            KeyValueStore store,
            MemberTable members,
            PeerClient peers,
            ConfigurationParser parser,
            Consumer<FleetConfiguration> activationListener,
            ControlExecutor control,
            MonotonicClock clock,
            RandomGenerator random) {
        this.store = store;
        this.members = members;
        this.peers = peers;
        this.parser = parser;
        this.activationListener = activationListener;
        this.control = control;
        this.clock = clock;
        this.storeProbeTimer = new JitteredTimer(clock, random, STORE_PROBE_INTERVAL);
        this.watcherCheckTimer = new JitteredTimer(clock, random, WATCHER_CHECK_INTERVAL);
    }

    @Override
    public void tick() {
        recordMajority();
        if (readPending) {
            return;
        }
        if (current.revision() == 0) {
            if (storeProbeTimer.isDue()) {
                read(store.get(STORE_KEY));
            }
            return;
        }
        if (watcherCheckTimer.isDue()) {
            watcher = isElectedWatcher();
        }
        if (watcher) {
            if (hasRecentStoreContact() || storeProbeTimer.isDue()) {
                read(store.watch(STORE_KEY, current.revision()));
            }
            return;
        }
        if (!hasRecentStoreContact() && storeProbeTimer.isDue()) {
            read(store.get(STORE_KEY));
        }
    }

    private void read(CompletableFuture<Optional<StoreEntry>> answer) {
        long sentNanos = clock.nanos();
        readPending = true;
        control.onCompletion(
                answer,
                entry -> {
                    readPending = false;
                    handleStoreEntry(entry, sentNanos);
                },
                failure -> readPending = false);
    }

    /** An entry older than the active revision comes from a lagging replica and is no evidence of a current read. */
    private void handleStoreEntry(Optional<StoreEntry> entry, long sentNanos) {
        if (entry.isPresent() && entry.get().revision() < current.revision()) {
            return;
        }
        recordStoreContact(sentNanos);
        entry.ifPresent(e -> applyIfNewer(new ConfigurationPayload(e.revision(), e.value())));
    }

    /**
     * Activates a revision if it is valid and higher than the active one.
     *
     * @param payload the revision to activate
     */
    public void applyIfNewer(ConfigurationPayload payload) {
        if (payload.revision() <= current.revision()) {
            return;
        }
        FleetConfiguration parsed;
        try {
            parsed = parser.parse(payload);
        } catch (ShuntException e) {
            return;
        }
        current = payload;
        activationListener.accept(parsed);
    }

    /**
     * Fetches the configuration from a peer if the peer has a higher revision.
     *
     * @param peer the peer
     */
    public void fetchIfNewer(Member peer) {
        if (peer.revision() <= current.revision() || peer.revision() <= fetchingRevision) {
            return;
        }
        fetchingRevision = peer.revision();
        control.onCompletion(
                peers.configuration(peer.address()),
                payload -> {
                    fetchingRevision = 0;
                    applyIfNewer(payload);
                },
                failure -> fetchingRevision = 0);
    }

    /**
     * Merges a peer's information about the last successful access to the store. It is evidence for the peer's revision,
     * and thus of no use while this VM lacks that revision.
     *
     * @param contactNanos a time before the access, on the clock of this VM
     * @param peerRevision the revision that was active on the peer
     */
    public void mergeStoreContact(long contactNanos, long peerRevision) {
        if (peerRevision <= current.revision()) {
            recordStoreContact(contactNanos);
        }
    }

    private void recordStoreContact(long atNanos) {
        if (!storeContactKnown || atNanos - storeContactNanos > 0) {
            storeContactKnown = true;
            storeContactNanos = atNanos;
        }
    }

    /**
     * Returns the milliseconds since the last successful store access by any VM, as far as this VM knows.
     *
     * @return the age, or -1 if no access is known
     */
    public long storeContactAgeMillis() {
        return storeContactKnown
                ? Duration.ofNanos(clock.nanos() - storeContactNanos).toMillis()
                : UNKNOWN_AGE;
    }

    /** Records that a majority of members is heard, unless one of them has a later revision. */
    private void recordMajority() {
        if (members.hasLaterRevision(current.revision())) {
            return;
        }
        members.majorityHeardNanos()
                .ifPresent(heardNanos ->
                        majorityEvidenceEnd = new Deadline(heardNanos + MemberTable.LIVENESS_TIMEOUT.toNanos()));
    }

    /**
     * Returns until when there is evidence that the active revision is the latest: a VM with no later revision reached the
     * store recently, or this VM is in contact with a majority of members, none of which knows a later revision.
     *
     * @return the end of the evidence, which has passed for an isolated VM; empty if there has never been any
     */
    public Optional<Deadline> currentUntil() {
        Deadline majorityEnd = majorityEvidenceEnd;
        if (!storeContactKnown) {
            return Optional.ofNullable(majorityEnd);
        }
        Deadline contactEnd = new Deadline(storeContactNanos + STALE_AFTER.toNanos());
        if (majorityEnd == null || majorityEnd.atNanos() - contactEnd.atNanos() < 0) {
            return Optional.of(contactEnd);
        }
        return Optional.of(majorityEnd);
    }

    /**
     * Returns whether there is evidence that the active revision is the latest.
     *
     * @return false after the time of {@link #currentUntil()}
     */
    public boolean isCurrent() {
        return currentUntil().filter(end -> !end.hasPassed(clock)).isPresent();
    }

    public long revision() {
        return current.revision();
    }

    /**
     * Returns the active payload, for peers that fetch it.
     *
     * @return the payload
     */
    public ConfigurationPayload payload() {
        return current;
    }

    private boolean hasRecentStoreContact() {
        long age = storeContactAgeMillis();
        return age != UNKNOWN_AGE && age < STORE_CONTACT_TIMEOUT.toMillis();
    }

    private boolean isElectedWatcher() {
        List<String> vms = new ArrayList<>();
        vms.add(members.self().vm());
        members.alivePeers().forEach(member -> vms.add(member.vm()));
        return RendezvousHash.owners(STORE_KEY, vms, WATCHERS)
                .contains(members.self().vm());
    }
}
