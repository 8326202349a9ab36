package dev.bluebellshunt.core.member;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The routers known to this process. Confined to the control thread.
 *
 * <p>A member without a recent heartbeat is skipped but stays in the table, and counts in
 * {@link #majorityHeardNanos()}, until the platform's list no longer contains its VM or it has left.
 */
public final class MemberTable {

    /** Time without a heartbeat after which a member is no longer considered alive. */
    public static final Duration LIVENESS_TIMEOUT = Duration.ofSeconds(8);

    /** Unit of heartbeat ages in gossip messages. */
    static final Duration AGE_UNIT = Duration.ofMillis(100);

    /** Time for which each message includes the full row of a changed member. */
    private static final Duration CHANGE_DISSEMINATION_TIME = Duration.ofSeconds(5);

    /** Maximum number of changed rows in a message. */
    private static final int MAX_CHANGED_ROWS = 16;

    private static final int MAX_AGE_UNITS = 255;

    private final MonotonicClock clock;
    private final TreeMap<String, MemberEntry> collectRows = new TreeMap<>();
    private Member self;
    private int expectedRouters;

    /**
     * Creates a table that contains only this process.
     *
     * @param clock the clock
     * @param self this process
     */
    public MemberTable(MonotonicClock clock, Member self) {
        this.clock = clock;
        this.self = self;
    }

    public Member self() {
        return self;
    }

    /**
     * Updates this process's own description.
     *
     * @param revision the active configuration revision
     * @param leaving whether the process is shutting down
     */
    public void updateSelf(long revision, boolean leaving) {
        self = self.withStatus(revision, leaving);
    }

    /**
     * Merges a member description received from a peer.
     *
     * @param member the description
     * @param heardNanos a time after which the member's last heartbeat was heard
     */
    public void mergeMember(Member member, long heardNanos) {
        if (member.vm().equals(self.vm())) {
            return;
        }
        MemberEntry known = collectRows.get(member.vm());
        if (known == null || member.isNewerThan(known.member)) {
            collectRows.put(
                    member.vm(), new MemberEntry(member, heardNanos, Deadline.after(clock, CHANGE_DISSEMINATION_TIME)));
        } else if (member.incarnation() == known.member.incarnation()) {
            known.updateLastHeard(heardNanos);
        }
    }

    /**
     * Merges the heartbeat ages received from a peer, provided that it knows the same members.
     *
     * @param membersHash the hash of the members known to the peer
     * @param ages the encoded heartbeat ages
     * @param asOfNanos a time before which the peer did not encode them
     */
    public void mergeAges(long membersHash, String ages, long asOfNanos) {
        byte[] units = Base64.getDecoder().decode(ages);
        if (membersHash != membershipHash() || units.length != collectRows.size() + 1) {
            return;
        }
        int i = 0;
        for (String vm : vms()) {
            MemberEntry row = collectRows.get(vm);
            int age = Byte.toUnsignedInt(units[i++]);
            if (row != null && age < MAX_AGE_UNITS) {
                row.updateLastHeard(asOfNanos - AGE_UNIT.multipliedBy(age + 1L).toNanos());
            }
        }
    }

    /**
     * Encodes the heartbeat ages of all members, including this process.
     *
     * @return one byte per member, ordered by VM, in Base64
     */
    public String encodeAges() {
        byte[] units = new byte[collectRows.size() + 1];
        int i = 0;
        for (String vm : vms()) {
            MemberEntry row = collectRows.get(vm);
            long age = row == null ? 0 : (clock.nanos() - row.lastHeardNanos) / AGE_UNIT.toNanos();
            units[i++] = (byte) Math.min(MAX_AGE_UNITS, age);
        }
        return Base64.getEncoder().encodeToString(units);
    }

    /**
     * Returns the hash of all members' VMs and incarnations, including this process.
     *
     * @return a hash that is equal for processes that know the same members
     */
    public long membershipHash() {
        HashStream64 hash = Hashing.komihash5_0().hashStream();
        for (String vm : vms()) {
            MemberEntry row = collectRows.get(vm);
            hash.putString(vm).putLong(row == null ? self.incarnation() : row.member.incarnation());
        }
        return hash.getAsLong();
    }

    /**
     * Returns the full rows to include in a message.
     *
     * @param all whether to include all members
     * @return this process first, followed by the recently changed members or by all of them
     */
    public List<GossipMessage.MemberRow> collectRows(boolean all) {
        List<GossipMessage.MemberRow> whole = new ArrayList<>();
        whole.add(new GossipMessage.MemberRow(self, 0));
        for (MemberEntry row : collectRows.values()) {
            if (all || (whole.size() < MAX_CHANGED_ROWS && !row.disseminateUntil.hasPassed(clock))) {
                long age = Duration.ofNanos(clock.nanos() - row.lastHeardNanos).toMillis();
                whole.add(new GossipMessage.MemberRow(row.member, age));
            }
        }
        return whole;
    }

    private List<String> vms() {
        List<String> vms = new ArrayList<>(collectRows.keySet());
        vms.add(self.vm());
        vms.sort(Comparator.naturalOrder());
        return vms;
    }

    /**
     * Removes members whose VMs the platform no longer lists.
     *
     * @param removedVms the removed VMs
     */
    public void removeMembers(Set<String> removedVms) {
        collectRows.keySet().removeAll(removedVms);
    }

    /**
     * Sets the number of routers named by the platform or the settings, so that a process that has not
     * yet met any of them does not consider itself a majority.
     *
     * @param vms the number of VMs, including this one
     */
    public void setExpectedRouters(int vms) {
        expectedRouters = vms;
    }

    /**
     * Returns all members, including this process and members that are not alive.
     *
     * @return descriptions ordered by VM
     */
    public List<Member> all() {
        List<Member> all = new ArrayList<>(collectRows.size() + 1);
        all.add(self);
        collectRows.values().forEach(row -> all.add(row.member));
        all.sort(Comparator.comparing(Member::vm));
        return all;
    }

    /**
     * Returns the peers that are alive and not leaving.
     *
     * @return descriptions ordered by VM
     */
    public List<Member> alivePeers() {
        return collectRows.values().stream()
                .filter(row -> isAlive(row) && !row.member.leaving())
                .map(row -> row.member)
                .toList();
    }

    /**
     * Finds a live peer.
     *
     * @param vm its VM
     * @return its description, or null if it is unknown or not alive
     */
    public @Nullable Member alivePeer(String vm) {
        MemberEntry row = collectRows.get(vm);
        return row != null && isAlive(row) ? row.member : null;
    }

    /**
     * Returns the latest time as of which more than half of the members, including this process, were heard.
     *
     * @return the time, or empty for a process on the minority side of a partition
     */
    public OptionalLong majorityHeardNanos() {
        long now = clock.nanos();
        int knownMembers = 1;
        List<Long> peerAges = new ArrayList<>(collectRows.size());
        for (MemberEntry row : collectRows.values()) {
            boolean alive = isAlive(row);
            knownMembers += alive || !row.member.leaving() ? 1 : 0;
            if (alive) {
                peerAges.add(now - row.lastHeardNanos);
            }
        }
        int neededPeers = Math.max(knownMembers, expectedRouters) / 2;
        if (neededPeers == 0) {
            return OptionalLong.of(now);
        }
        if (peerAges.size() < neededPeers) {
            return OptionalLong.empty();
        }
        peerAges.sort(Comparator.naturalOrder());
        return OptionalLong.of(now - peerAges.get(neededPeers - 1));
    }

    /**
     * Returns whether a live peer has a later configuration revision.
     *
     * @param revision the revision to compare with
     * @return true if any peer's revision is higher
     */
    public boolean hasLaterRevision(long revision) {
        return collectRows.values().stream().anyMatch(row -> isAlive(row) && row.member.revision() > revision);
    }

    private boolean isAlive(MemberEntry row) {
        return clock.nanos() - row.lastHeardNanos < LIVENESS_TIMEOUT.toNanos();
    }

    private static final class MemberEntry {
        private final Member member;
        private final Deadline disseminateUntil;
        private long lastHeardNanos;

        private MemberEntry(Member member, long lastHeardNanos, Deadline disseminateUntil) {
            this.member = member;
            this.lastHeardNanos = lastHeardNanos;
            this.disseminateUntil = disseminateUntil;
        }

        private void updateLastHeard(long nanos) {
            if (nanos - lastHeardNanos > 0) {
                lastHeardNanos = nanos;
            }
        }
    }
}
