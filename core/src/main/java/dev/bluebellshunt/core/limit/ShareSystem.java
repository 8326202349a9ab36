package dev.bluebellshunt.core.limit;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.Every;
import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.member.MemberTable;
import dev.bluebellshunt.core.member.Rendezvous;
import dev.bluebellshunt.core.store.CasResult;
import dev.bluebellshunt.core.store.KeyValueStore;
import dev.bluebellshunt.core.store.StoreEntry;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Shares out each workspace's rate and burst among VMs.
 *
 * <p>Shares have no expiry: an outage of the store takes no VM's share away, and a paused VM that
 * wakes still has what nobody else was given. A share moves in one of three ways, each a
 * compare-and-swap of the group's record: its holder gives a part of it away, having stopped using
 * that part before; the process that now runs on the holder's VM takes it over; or a peer takes it
 * once the platform no longer shows the VM.
 *
 * <p>A share counts only after a write of this process has confirmed it, never after a mere read,
 * since a read may come from a lagging replica.
 */
public final class ShareSystem implements ControlSystem {

    /** Mean time between two looks at the record of a group that this VM holds or should hold. */
    static final Duration REFRESH = Duration.ofSeconds(10);

    /** Mean time between two looks while this VM waits for its share. */
    static final Duration REFRESH_WHILE_WAITING = Duration.ofSeconds(1);

    /** Mean time between two looks of a VM that only borrows from the holders. */
    static final Duration REFRESH_OF_OTHERS = Duration.ofMinutes(5);

    /** Parts below this are not worth a write. */
    private static final int LEAST_MOVE = ShareRecord.WHOLE / 100;

    private final KeyValueStore store;
    private final MemberTable members;
    private final BiConsumer<Integer, Double> sharesChanged;
    private final ControlExecutor control;
    private final List<Group> groups = new ArrayList<>();
    private Set<String> gone = Set.of();
    private boolean leaving;

    /**
     * Creates the system.
     *
     * @param store the key-value service
     * @param members the table of members
     * @param sharesChanged is told of this VM's share of a group, from 0 to 1
     * @param control runs work on the control thread
     * @param clock the clock to read
     * @param random the source of jitter
     */
    public ShareSystem(
            KeyValueStore store,
            MemberTable members,
            BiConsumer<Integer, Double> sharesChanged,
            ControlExecutor control,
            MonotonicClock clock,
            RandomGenerator random) {
        this.store = store;
        this.members = members;
        this.sharesChanged = sharesChanged;
        this.control = control;
        for (int i = 0; i < ShareGroup.COUNT; i++) {
            groups.add(new Group(i, clock, random));
        }
    }

    /**
     * Names the VMs that the platform no longer shows.
     *
     * @param vms VMs that are certainly not running any more
     */
    public void gone(Set<String> vms) {
        gone = Set.copyOf(vms);
    }

    /** Gives all shares away, as far as the store allows. */
    public void leave() {
        leaving = true;
        groups.forEach(group -> group.look.hurry());
    }

    /**
     * Whether this VM has given all its shares away.
     *
     * @return true once it holds none
     */
    public boolean isEmpty() {
        return groups.stream().allMatch(group -> group.confirmedParts == 0);
    }

    /**
     * The VMs that hold parts of a group, as far as this VM knows.
     *
     * @param group the group
     * @return VMs with the largest part first
     */
    public List<String> holders(int group) {
        ShareRecord record = groups.get(group).record;
        if (record == null) {
            return List.of();
        }
        return record.shares().entrySet().stream()
                .sorted((a, b) ->
                        Integer.compare(b.getValue().parts(), a.getValue().parts()))
                .map(entry -> entry.getKey())
                .toList();
    }

    /**
     * All VMs that hold parts of any group, as far as this VM knows.
     *
     * @return VMs
     */
    public Set<String> knownHolders() {
        Set<String> vms = new HashSet<>();
        for (Group group : groups) {
            vms.addAll(holders(group.number));
        }
        return vms;
    }

    @Override
    public void tick() {
        for (Group group : groups) {
            if (!group.pending && group.isDue()) {
                read(group);
            }
        }
    }

    private void read(Group group) {
        group.pending = true;
        control.await(
                store.get(ShareGroup.key(group.number)),
                entry -> {
                    group.pending = false;
                    decide(group, entry);
                },
                failure -> group.pending = false);
    }

    private void decide(Group group, Optional<StoreEntry> entry) {
        if (entry.isEmpty()) {
            if (group.revision == 0 && group.isWanted() && !leaving) {
                write(group, ShareRecord.whole(self().vm(), self().incarnation()), 0);
            }
            return;
        }
        if (entry.get().revision() < group.revision) {
            return;
        }
        ShareRecord record = Json.read(entry.get().value(), ShareRecord.class);
        group.seen(record, entry.get().revision());
        ShareRecord next = next(group, record);
        if (next != null) {
            int keeps = next.parts(self().vm(), self().incarnation());
            group.use(Math.min(Math.max(0, group.used), keeps));
            write(group, next, entry.get().revision());
        }
    }

    /** The record that this VM wants in place of the present one, or null where it wants no change. */
    private @Nullable ShareRecord next(Group group, ShareRecord record) {
        String vm = self().vm();
        if (leaving) {
            return giveAllAway(record);
        }
        ShareRecord.Share own = record.share(vm);
        if (own != null && own.incarnation() < self().incarnation()) {
            return record.move(vm, vm, self().incarnation(), own.parts());
        }
        if (own != null && own.incarnation() > self().incarnation()) {
            return null;
        }
        if (own != null && group.used != own.parts()) {
            return record;
        }
        ShareRecord reclaimed = reclaim(record);
        if (reclaimed != null) {
            return reclaimed;
        }
        return own == null ? null : giveToNewcomer(group, record, own);
    }

    private @Nullable ShareRecord giveAllAway(ShareRecord record) {
        int parts = record.parts(self().vm(), self().incarnation());
        if (parts == 0) {
            return null;
        }
        for (Member peer : members.alivePeers()) {
            ShareRecord.Share share = record.share(peer.vm());
            if (share != null && share.incarnation() == peer.incarnation()) {
                return record.move(self().vm(), peer.vm(), peer.incarnation(), parts);
            }
        }
        return null;
    }

    /** The first live holder takes the part of a VM that is gone; where no holder lives, any VM may. */
    private @Nullable ShareRecord reclaim(ShareRecord record) {
        for (String holder : record.shares().keySet()) {
            if (!gone.contains(holder) || holder.equals(self().vm())) {
                continue;
            }
            ShareRecord.Share share = record.share(holder);
            if (share != null && isFirstHeir(record)) {
                return record.move(holder, self().vm(), self().incarnation(), share.parts());
            }
        }
        return null;
    }

    private boolean isFirstHeir(ShareRecord record) {
        for (String holder : record.shares().keySet()) {
            if (holder.equals(self().vm())) {
                return true;
            }
            if (members.alivePeer(holder) != null && !gone.contains(holder)) {
                return false;
            }
        }
        return true;
    }

    /** The VM with the largest part gives the poorest of the wanted holders its fair part. */
    private @Nullable ShareRecord giveToNewcomer(Group group, ShareRecord record, ShareRecord.Share own) {
        List<String> wanted = group.wantedHolders();
        int fair = ShareRecord.WHOLE / Math.max(1, wanted.size());
        if (!isRichest(record, own)) {
            return null;
        }
        for (String vm : wanted) {
            Member peer = members.alivePeer(vm);
            ShareRecord.Share share = record.share(vm);
            int had = share == null ? 0 : share.parts();
            int parts = Math.min(own.parts() - fair, fair - had);
            if (peer != null && !peer.leaving() && parts >= LEAST_MOVE) {
                return record.move(self().vm(), vm, peer.incarnation(), parts);
            }
        }
        return null;
    }

    private boolean isRichest(ShareRecord record, ShareRecord.Share own) {
        for (var entry : record.shares().entrySet()) {
            int parts = entry.getValue().parts();
            boolean before = entry.getKey().compareTo(self().vm()) < 0;
            boolean same = parts == own.parts();
            if (parts > own.parts() || (same && before)) {
                return false;
            }
        }
        return true;
    }

    /** After a conflict or a lost answer the group is simply read again. */
    private void write(Group group, ShareRecord record, long expectedRevision) {
        group.pending = true;
        control.await(
                store.compareAndSet(ShareGroup.key(group.number), Json.write(record), expectedRevision),
                result -> {
                    group.pending = false;
                    if (result instanceof CasResult.Written written) {
                        group.confirmed(record, written.revision());
                    }
                    group.look.hurry();
                },
                failure -> {
                    group.pending = false;
                    group.look.hurry();
                });
    }

    private Member self() {
        return members.self();
    }

    /** The control state of one group. */
    private final class Group {
        private final int number;
        private final Every look;
        private @Nullable ShareRecord record;
        private long revision;
        private int confirmedParts;
        private int used = -1;

        private boolean pending;

        private Group(int number, MonotonicClock clock, RandomGenerator random) {
            this.number = number;
            this.look = new Every(clock, random, REFRESH_WHILE_WAITING);
        }

        /** The rendezvous choice is made only when a look is due, since it grows with the fleet. */
        private boolean isDue() {
            if (!look.isDue()) {
                return false;
            }
            if (!leaving && confirmedParts > 0) {
                look.again(REFRESH);
            } else if (!leaving && record != null && !isWanted()) {
                look.again(REFRESH_OF_OTHERS);
            }
            return true;
        }

        private void seen(ShareRecord seen, long atRevision) {
            record = seen;
            revision = atRevision;
            int parts = seen.parts(self().vm(), self().incarnation());
            if (parts < confirmedParts) {
                confirmedParts = parts;
                use(parts);
            }
        }

        private void confirmed(ShareRecord written, long atRevision) {
            record = written;
            revision = atRevision;
            confirmedParts = written.parts(self().vm(), self().incarnation());
            use(confirmedParts);
        }

        private void use(int parts) {
            if (parts != used) {
                used = parts;
                sharesChanged.accept(number, (double) parts / ShareRecord.WHOLE);
            }
        }

        private boolean isWanted() {
            return wantedHolders().contains(self().vm());
        }

        private List<String> wantedHolders() {
            List<String> vms = new ArrayList<>();
            vms.add(self().vm());
            members.alivePeers().forEach(peer -> vms.add(peer.vm()));
            return Rendezvous.owners(ShareGroup.key(number), vms, ShareGroup.HOLDERS);
        }
    }
}
