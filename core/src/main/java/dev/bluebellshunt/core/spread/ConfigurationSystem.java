package dev.bluebellshunt.core.spread;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.Every;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.member.MemberTable;
import dev.bluebellshunt.core.member.PeerClient;
import dev.bluebellshunt.core.member.Rendezvous;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.store.KeyValueStore;
import dev.bluebellshunt.core.store.StoreEntry;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Brings each configuration revision into force on this VM.
 *
 * <p>A few VMs, chosen by rendezvous hashing, watch the store. All others learn of a new revision by
 * gossip and fetch it from a peer, and read the store themselves only while nobody has reached it
 * lately. A revision is only ever replaced by a higher one.
 */
public final class ConfigurationSystem implements ControlSystem {

    /** The key that holds the current revision. */
    public static final String KEY = "configuration/current";

    /** VMs that watch the store at the same time, whatever the size of the fleet. */
    static final int WATCHERS = 3;

    /** How long this VM serves keyed requests without a sign that its revision is the latest. */
    public static final Duration STALE_AFTER = Duration.ofSeconds(10);

    /** Mean time between reads of the store while nobody reaches it. */
    static final Duration PROBE_INTERVAL = Duration.ofSeconds(2);

    /** Mean time between two choices of the VMs that watch. */
    private static final Duration ROLE_INTERVAL = Duration.ofSeconds(1);

    private static final Duration UNATTESTED = Duration.ofSeconds(5);
    private static final long NEVER = -1;

    private final KeyValueStore store;
    private final MemberTable members;
    private final PeerClient peers;
    private final ConfigurationParser parser;
    private final Consumer<FleetConfiguration> inForce;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final Every probe;
    private final Every role;

    private ConfigurationPayload current = ConfigurationPayload.NONE;
    private boolean readPending;
    private boolean watcher;
    private long fetchingRevision;
    private boolean contacted;
    private long contactNanos;

    /**
     * Creates the system.
     *
     * @param store the key-value service
     * @param members the table of members
     * @param peers calls to peers
     * @param parser reads payloads
     * @param inForce is told of each revision that comes into force, on the control thread
     * @param control runs work on the control thread
     * @param clock the clock to read
     * @param random the source of jitter
     */
    public ConfigurationSystem(
            KeyValueStore store,
            MemberTable members,
            PeerClient peers,
            ConfigurationParser parser,
            Consumer<FleetConfiguration> inForce,
            ControlExecutor control,
            MonotonicClock clock,
            RandomGenerator random) {
        this.store = store;
        this.members = members;
        this.peers = peers;
        this.parser = parser;
        this.inForce = inForce;
        this.control = control;
        this.clock = clock;
        this.probe = new Every(clock, random, PROBE_INTERVAL);
        this.role = new Every(clock, random, ROLE_INTERVAL);
    }

    @Override
    public void tick() {
        if (readPending) {
            return;
        }
        if (current.revision() == 0) {
            if (probe.isDue()) {
                read(store.get(KEY));
            }
            return;
        }
        if (role.isDue()) {
            watcher = isWatcher();
        }
        if (watcher) {
            if (isAttested() || probe.isDue()) {
                read(store.watch(KEY, current.revision()));
            }
            return;
        }
        if (!isAttested() && probe.isDue()) {
            read(store.get(KEY));
        }
    }

    private void read(CompletableFuture<Optional<StoreEntry>> answer) {
        long sentNanos = clock.nanos();
        readPending = true;
        control.await(
                answer,
                entry -> {
                    readPending = false;
                    storeAnswered(entry, sentNanos);
                },
                failure -> readPending = false);
    }

    /** An answer older than the revision in force comes from a lagging replica and attests nothing. */
    private void storeAnswered(Optional<StoreEntry> entry, long sentNanos) {
        if (entry.isPresent() && entry.get().revision() < current.revision()) {
            return;
        }
        contact(sentNanos);
        entry.ifPresent(e -> offer(new ConfigurationPayload(e.revision(), e.value())));
    }

    /**
     * Takes a revision into force if it is higher than the present one and valid.
     *
     * @param payload the revision
     */
    public void offer(ConfigurationPayload payload) {
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
        inForce.accept(parsed);
    }

    /**
     * Fetches a revision from a peer that has a higher one.
     *
     * @param peer the peer
     */
    public void peerHas(Member peer) {
        if (peer.revision() <= current.revision() || peer.revision() <= fetchingRevision) {
            return;
        }
        fetchingRevision = peer.revision();
        control.await(
                peers.configuration(peer.address()),
                payload -> {
                    fetchingRevision = 0;
                    offer(payload);
                },
                failure -> fetchingRevision = 0);
    }

    /**
     * Takes over a peer's word of when the store was last reached.
     *
     * @param ageMillis milliseconds ago, negative where the peer does not know
     */
    public void storeContact(long ageMillis) {
        if (ageMillis >= 0) {
            contact(clock.nanos() - Duration.ofMillis(ageMillis).toNanos());
        }
    }

    private void contact(long atNanos) {
        if (!contacted || atNanos - contactNanos > 0) {
            contacted = true;
            contactNanos = atNanos;
        }
    }

    /**
     * Milliseconds since any VM known to this one reached the store.
     *
     * @return the age, or -1 where none is known
     */
    public long storeContactAgeMillis() {
        return contacted ? Duration.ofNanos(clock.nanos() - contactNanos).toMillis() : NEVER;
    }

    /**
     * Whether there are signs that the revision in force is the latest: a VM reached the store lately,
     * or this VM hears the majority of its peers, none of which knows a later one.
     *
     * @return false for a VM that is cut off
     */
    public boolean isCurrent() {
        long age = storeContactAgeMillis();
        return (age != NEVER && age < STALE_AFTER.toMillis()) || members.hearsMajority();
    }

    public long revision() {
        return current.revision();
    }

    /**
     * The revision in force, for peers that fetch it.
     *
     * @return the payload
     */
    public ConfigurationPayload payload() {
        return current;
    }

    private boolean isAttested() {
        long age = storeContactAgeMillis();
        return age != NEVER && age < UNATTESTED.toMillis();
    }

    private boolean isWatcher() {
        List<String> vms = new ArrayList<>();
        vms.add(members.self().vm());
        members.alivePeers().forEach(member -> vms.add(member.vm()));
        return Rendezvous.owners(KEY, vms, WATCHERS).contains(members.self().vm());
    }
}
