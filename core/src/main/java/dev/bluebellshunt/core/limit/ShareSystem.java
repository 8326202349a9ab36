package dev.bluebellshunt.core.limit;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.member.MemberTable;
import dev.bluebellshunt.core.member.RendezvousHash;
import dev.bluebellshunt.core.store.CompareAndSetResult;
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
 * Allocates each workspace's rate and burst to VMs.
 *
 * <p>Shares do not expire. A store outage therefore does not revoke any VM's share, and a VM that
 * resumes after a pause still holds a share that was not given to another VM. A share is transferred
 * only by a compare-and-set of the group's record, in one of three cases: the holder transfers parts
 * that it has already stopped using; a newer process on the holder's VM takes over the share; or a
 * peer takes it after the platform no longer lists the VM.
 *
 * <p>A share is used only after a write by this process has confirmed it. A read is not sufficient,
 * because it may be served by a lagging replica.
 */
public final class ShareSystem implements ControlSystem {

    /** The mean interval between reads of a group's record while this VM holds a share of the group. */
    static final Duration REFRESH_INTERVAL = Duration.ofSeconds(10);

    /** The mean interval between reads while this VM waits for its share. */
    static final Duration PENDING_SHARE_REFRESH_INTERVAL = Duration.ofSeconds(1);

    /** The mean interval between reads by a VM that only borrows tokens from the holders. */
    static final Duration NON_HOLDER_REFRESH_INTERVAL = Duration.ofMinutes(5);

    /** The smallest transfer for rebalancing; smaller ones do not justify a write to the store. */
    private static final int MIN_TRANSFER_PARTS = ShareRecord.TOTAL_PARTS / 100;

    private final KeyValueStore store;
    private final MemberTable members;
    private final BiConsumer<Integer, Double> shareListener;
    private final ControlExecutor control;
    private final List<GroupState> groups = new ArrayList<>();
    private Set<String> terminatedVms = Set.of();
    private boolean leaving;

    /**
     * Creates a share system without shares.
     *
     * @param store the key-value service
     * @param members the membership table
     * @param shareListener receives the group number and this VM's share of the group, from 0 to 1
     * @param control runs callbacks on the control thread
     * @param clock the monotonic clock
     * @param random the source of jitter
     */
    public ShareSystem(
            KeyValueStore store,
            MemberTable members,
            BiConsumer<Integer, Double> shareListener,
            ControlExecutor control,
            MonotonicClock clock,
            RandomGenerator random) {
        this.store = store;
        this.members = members;
        this.shareListener = shareListener;
        this.control = control;
        for (int i = 0; i < ShareGroup.COUNT; i++) {
            groups.add(new GroupState(i, clock, random));
        }
    }

    /**
     * Sets the VMs that the platform no longer lists, whose shares may be reclaimed.
     *
     * @param terminated the names of VMs that are known to be terminated
     */
    public void setTerminatedVms(Set<String> terminated) {
        terminatedVms = Set.copyOf(terminated);
    }

    /** Starts transferring all shares to peers. Transfers need the store and a live peer that holds a share. */
    public void leave() {
        leaving = true;
        groups.forEach(group -> group.refreshTimer.triggerNow());
    }

    /**
     * Returns whether this VM holds no confirmed shares.
     *
     * @return true if it holds none
     */
    public boolean holdsNoShares() {
        return groups.stream().allMatch(group -> group.confirmedParts == 0);
    }

    /**
     * Returns the VMs that hold a share of a group, according to the last record that this VM saw.
     *
     * @param group the group number
     * @return the VMs, largest share first
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
     * Returns the VMs that hold a share of any group, according to the last records that this VM saw.
     *
     * @return the VMs
     */
    public Set<String> knownHolders() {
        Set<String> vms = new HashSet<>();
        for (GroupState group : groups) {
            vms.addAll(holders(group.number));
        }
        return vms;
    }

    @Override
    public void tick() {
        for (GroupState group : groups) {
            if (!group.requestPending && group.isDue()) {
                read(group);
            }
        }
    }

    private void read(GroupState group) {
        group.requestPending = true;
        control.onCompletion(
                store.get(ShareGroup.recordKey(group.number)),
                entry -> {
                    group.requestPending = false;
                    reconcile(group, entry);
                },
                failure -> group.requestPending = false);
    }

    private void reconcile(GroupState group, Optional<StoreEntry> entry) {
        if (entry.isEmpty()) {
            if (group.revision == 0 && group.isPreferredHolder() && !leaving) {
                write(group, ShareRecord.ofSoleHolder(self().vm(), self().incarnation()), 0);
            }
            return;
        }
        if (entry.get().revision() < group.revision) {
            return;
        }
        ShareRecord record = Json.read(entry.get().value(), ShareRecord.class);
        group.onRead(record, entry.get().revision());
        ShareRecord desired = desiredRecord(group, record);
        if (desired != null) {
            int remainingParts = desired.parts(self().vm(), self().incarnation());
            group.activate(Math.min(Math.max(0, group.activeParts), remainingParts));
            write(group, desired, entry.get().revision());
        }
    }

    /** Returns the record to write in place of the current one, or null if no write is needed. */
    private @Nullable ShareRecord desiredRecord(GroupState group, ShareRecord record) {
        String vm = self().vm();
        if (leaving) {
            return transferAllParts(record);
        }
        ShareRecord.Share own = record.share(vm);
        if (own != null && own.incarnation() < self().incarnation()) {
            return record.withTransfer(vm, vm, self().incarnation(), own.parts());
        }
        if (own != null && own.incarnation() > self().incarnation()) {
            return null;
        }
        if (own != null && group.activeParts != own.parts()) {
            return record;
        }
        ShareRecord reclaimed = reclaimFromTerminated(record);
        if (reclaimed != null) {
            return reclaimed;
        }
        return own == null ? null : rebalance(group, record, own);
    }

    private @Nullable ShareRecord transferAllParts(ShareRecord record) {
        int parts = record.parts(self().vm(), self().incarnation());
        if (parts == 0) {
            return null;
        }
        for (Member peer : members.alivePeers()) {
            ShareRecord.Share share = record.share(peer.vm());
            if (share != null && share.incarnation() == peer.incarnation()) {
                return record.withTransfer(self().vm(), peer.vm(), peer.incarnation(), parts);
            }
        }
        return null;
    }

    /** Lets the first live holder take the share of a terminated VM, or any VM if no holder is alive. */
    private @Nullable ShareRecord reclaimFromTerminated(ShareRecord record) {
        for (String holder : record.shares().keySet()) {
            if (!terminatedVms.contains(holder) || holder.equals(self().vm())) {
                continue;
            }
            ShareRecord.Share share = record.share(holder);
            if (share != null && isFirstLiveHolder(record)) {
                return record.withTransfer(holder, self().vm(), self().incarnation(), share.parts());
            }
        }
        return null;
    }

    private boolean isFirstLiveHolder(ShareRecord record) {
        for (String holder : record.shares().keySet()) {
            if (holder.equals(self().vm())) {
                return true;
            }
            if (members.alivePeer(holder) != null && !terminatedVms.contains(holder)) {
                return false;
            }
        }
        return true;
    }

    /** If this VM has the largest share, tops up the first preferred holder below an even share. */
    private @Nullable ShareRecord rebalance(GroupState group, ShareRecord record, ShareRecord.Share own) {
        List<String> preferred = group.preferredHolders();
        int evenParts = ShareRecord.TOTAL_PARTS / Math.max(1, preferred.size());
        if (!hasLargestShare(record, own)) {
            return null;
        }
        for (String vm : preferred) {
            Member peer = members.alivePeer(vm);
            ShareRecord.Share share = record.share(vm);
            int currentParts = share == null ? 0 : share.parts();
            int parts = Math.min(own.parts() - evenParts, evenParts - currentParts);
            if (peer != null && !peer.leaving() && parts >= MIN_TRANSFER_PARTS) {
                return record.withTransfer(self().vm(), vm, peer.incarnation(), parts);
            }
        }
        return null;
    }

    private boolean hasLargestShare(ShareRecord record, ShareRecord.Share own) {
        for (var entry : record.shares().entrySet()) {
            int parts = entry.getValue().parts();
            boolean precedes = entry.getKey().compareTo(self().vm()) < 0;
            boolean equalParts = parts == own.parts();
            if (parts > own.parts() || (equalParts && precedes)) {
                return false;
            }
        }
        return true;
    }

    /** Writes a group's record. The record is read again afterwards, including after a conflict or a lost response. */
    private void write(GroupState group, ShareRecord record, long expectedRevision) {
        group.requestPending = true;
        control.onCompletion(
                store.compareAndSet(ShareGroup.recordKey(group.number), Json.write(record), expectedRevision),
                result -> {
                    group.requestPending = false;
                    if (result instanceof CompareAndSetResult.Written written) {
                        group.onWritten(record, written.revision());
                    }
                    group.refreshTimer.triggerNow();
                },
                failure -> {
                    group.requestPending = false;
                    group.refreshTimer.triggerNow();
                });
    }

    private Member self() {
        return members.self();
    }

    /** The state of one group; accessed only by the control thread. */
    private final class GroupState {
        private final int number;
        private final JitteredTimer refreshTimer;
        private @Nullable ShareRecord record;
        private long revision;
        private int confirmedParts;
        private int activeParts = -1;

        private boolean requestPending;

        private GroupState(int number, MonotonicClock clock, RandomGenerator random) {
            this.number = number;
            this.refreshTimer = new JitteredTimer(clock, random, PENDING_SHARE_REFRESH_INTERVAL);
        }

        /** Computes the preferred holders only when a read is due, because the cost grows with the number of VMs. */
        private boolean isDue() {
            if (!refreshTimer.isDue()) {
                return false;
            }
            if (!leaving && confirmedParts > 0) {
                refreshTimer.rescheduleAfter(REFRESH_INTERVAL);
            } else if (!leaving && record != null && !isPreferredHolder()) {
                refreshTimer.rescheduleAfter(NON_HOLDER_REFRESH_INTERVAL);
            }
            return true;
        }

        private void onRead(ShareRecord read, long readRevision) {
            record = read;
            revision = readRevision;
            int parts = read.parts(self().vm(), self().incarnation());
            if (parts < confirmedParts) {
                confirmedParts = parts;
                activate(parts);
            }
        }

        private void onWritten(ShareRecord written, long writtenRevision) {
            record = written;
            revision = writtenRevision;
            confirmedParts = written.parts(self().vm(), self().incarnation());
            activate(confirmedParts);
        }

        private void activate(int parts) {
            if (parts != activeParts) {
                activeParts = parts;
                shareListener.accept(number, (double) parts / ShareRecord.TOTAL_PARTS);
            }
        }

        private boolean isPreferredHolder() {
            return preferredHolders().contains(self().vm());
        }

        private List<String> preferredHolders() {
            List<String> vms = new ArrayList<>();
            vms.add(self().vm());
            members.alivePeers().forEach(peer -> vms.add(peer.vm()));
            return RendezvousHash.owners(ShareGroup.recordKey(number), vms, ShareGroup.HOLDERS_PER_GROUP);
        }
    }
}
