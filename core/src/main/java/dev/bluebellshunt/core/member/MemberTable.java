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
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The table of routers that this process knows, owned by the control thread.
 *
 * <p>A member that has not been heard for a while is only passed over; it stays in the table, and counts
 * in {@link #hearsMajority()}, until the platform's list no longer shows its VM or it has left.
 */
public final class MemberTable {

    /** How long a member may go unheard before it is passed over. */
    static final Duration ALIVE = Duration.ofSeconds(8);

    /** The unit of ages in gossip. */
    static final Duration AGE_UNIT = Duration.ofMillis(100);

    /** How long a changed row travels in whole with each message. */
    private static final Duration NEWS = Duration.ofSeconds(5);

    /** Changed rows in one message. */
    private static final int MAX_NEWS = 16;

    private static final int MAX_AGE = 255;

    private final MonotonicClock clock;
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private Member self;
    private int expected;

    /**
     * Creates a table that knows only this process.
     *
     * @param clock the clock to read
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
     * Takes over a change of this process's own description.
     *
     * @param revision the configuration revision in force
     * @param leaving whether the process is shutting down
     */
    public void describe(long revision, boolean leaving) {
        self = self.changed(revision, leaving);
    }

    /**
     * Takes over what a peer said of a member.
     *
     * @param member the description
     * @param ageMillis how long ago the member was heard
     */
    public void learn(Member member, long ageMillis) {
        if (member.vm().equals(self.vm())) {
            return;
        }
        long heardNanos = clock.nanos() - Duration.ofMillis(ageMillis).toNanos();
        Row known = rows.get(member.vm());
        if (known == null || member.isNewerThan(known.member)) {
            rows.put(member.vm(), new Row(member, heardNanos, Deadline.after(clock, NEWS)));
        } else if (member.incarnation() == known.member.incarnation()) {
            known.heard(heardNanos);
        }
    }

    /**
     * Takes over when a peer last heard each member, where it knows the same members.
     *
     * @param membersHash the hash of the members that the peer knows
     * @param ages the ages of a message
     */
    public void hear(long membersHash, String ages) {
        byte[] units = Base64.getDecoder().decode(ages);
        if (membersHash != hash() || units.length != rows.size() + 1) {
            return;
        }
        int i = 0;
        for (String vm : vms()) {
            Row row = rows.get(vm);
            int age = Byte.toUnsignedInt(units[i++]);
            if (row != null && age < MAX_AGE) {
                row.heard(clock.nanos() - AGE_UNIT.multipliedBy(age + 1L).toNanos());
            }
        }
    }

    /**
     * The ages of all members, this process included.
     *
     * @return one byte for each in the order of the VMs, in Base64
     */
    public String ages() {
        byte[] units = new byte[rows.size() + 1];
        int i = 0;
        for (String vm : vms()) {
            Row row = rows.get(vm);
            long age = row == null ? 0 : (clock.nanos() - row.heardNanos) / AGE_UNIT.toNanos();
            units[i++] = (byte) Math.min(MAX_AGE, age);
        }
        return Base64.getEncoder().encodeToString(units);
    }

    /**
     * The hash of all members' VMs and incarnations, this process included.
     *
     * @return equal where two processes know the same members
     */
    public long hash() {
        HashStream64 hash = Hashing.komihash5_0().hashStream();
        for (String vm : vms()) {
            Row row = rows.get(vm);
            hash.putString(vm).putLong(row == null ? self.incarnation() : row.member.incarnation());
        }
        return hash.getAsLong();
    }

    /**
     * The rows that a message carries in whole.
     *
     * @param all whether all members are wanted
     * @return this process first, then changed members or all of them
     */
    public List<GossipMessage.MemberRow> rows(boolean all) {
        List<GossipMessage.MemberRow> whole = new ArrayList<>();
        whole.add(new GossipMessage.MemberRow(self, 0));
        for (Row row : rows.values()) {
            if (all || (whole.size() < MAX_NEWS && !row.newsUntil.hasPassed(clock))) {
                long age = Duration.ofNanos(clock.nanos() - row.heardNanos).toMillis();
                whole.add(new GossipMessage.MemberRow(row.member, age));
            }
        }
        return whole;
    }

    private List<String> vms() {
        List<String> vms = new ArrayList<>(rows.keySet());
        vms.add(self.vm());
        vms.sort(Comparator.naturalOrder());
        return vms;
    }

    /**
     * Forgets members whose VMs the platform no longer shows.
     *
     * @param goneVms VMs that are gone
     */
    public void forget(Set<String> goneVms) {
        rows.keySet().removeAll(goneVms);
    }

    /**
     * Says how many routers the platform or the settings name, so that a process that has met none of
     * them does not take itself for a majority.
     *
     * @param vms the number of VMs, this one included
     */
    public void expect(int vms) {
        expected = vms;
    }

    /**
     * All members with this process, those passed over included.
     *
     * @return descriptions in the order of their VMs
     */
    public List<Member> all() {
        List<Member> all = new ArrayList<>(rows.size() + 1);
        all.add(self);
        rows.values().forEach(row -> all.add(row.member));
        all.sort(Comparator.comparing(Member::vm));
        return all;
    }

    /**
     * Peers that were heard lately and are not leaving.
     *
     * @return descriptions in the order of their VMs
     */
    public List<Member> alivePeers() {
        return rows.values().stream()
                .filter(row -> isAlive(row) && !row.member.leaving())
                .map(row -> row.member)
                .toList();
    }

    /**
     * Finds an alive peer.
     *
     * @param vm its VM
     * @return its description, or null where it is unknown or passed over
     */
    public @Nullable Member alivePeer(String vm) {
        Row row = rows.get(vm);
        return row != null && isAlive(row) ? row.member : null;
    }

    /**
     * Whether word of more than half of the members, this process included, has reached it lately.
     *
     * @return false for a process that is cut off together with a minority
     */
    public boolean hearsMajority() {
        int known = 1;
        int heard = 1;
        for (Map.Entry<String, Row> entry : rows.entrySet()) {
            boolean alive = isAlive(entry.getValue());
            if (entry.getValue().member.leaving() && !alive) {
                continue;
            }
            known++;
            heard += alive ? 1 : 0;
        }
        return heard * 2 > Math.max(known, expected);
    }

    private boolean isAlive(Row row) {
        return clock.nanos() - row.heardNanos < ALIVE.toNanos();
    }

    private static final class Row {
        private final Member member;
        private final Deadline newsUntil;
        private long heardNanos;

        private Row(Member member, long heardNanos, Deadline newsUntil) {
            this.member = member;
            this.heardNanos = heardNanos;
            this.newsUntil = newsUntil;
        }

        private void heard(long nanos) {
            if (nanos - heardNanos > 0) {
                heardNanos = nanos;
            }
        }
    }
}
