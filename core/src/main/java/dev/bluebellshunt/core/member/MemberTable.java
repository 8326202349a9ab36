package dev.bluebellshunt.core.member;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The table of routers that this process knows, owned by the control thread.
 *
 * <p>A member whose heartbeat stands still is only passed over; it stays in the table, and counts in
 * {@link #hearsMajority()}, until the platform's list no longer shows its VM or it has left.
 */
public final class MemberTable {

    /** How long a heartbeat may stand still before the member is passed over. */
    static final Duration ALIVE = Duration.ofSeconds(5);

    private final MonotonicClock clock;
    private final Map<String, Row> rows = new TreeMap<>();
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
     * Moves this process's own heartbeat on.
     *
     * @param revision the configuration revision in force
     * @param leaving whether the process is shutting down
     */
    public void beat(long revision, boolean leaving) {
        self = self.beat(revision, leaving);
    }

    /**
     * Takes over what a peer said of a member.
     *
     * @param member the description
     */
    public void learn(Member member) {
        if (member.vm().equals(self.vm())) {
            return;
        }
        Row known = rows.get(member.vm());
        if (known == null || member.isNewerThan(known.member)) {
            rows.put(member.vm(), new Row(member, Deadline.after(clock, ALIVE)));
        }
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
     * Peers whose heartbeat moves, this process not included.
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
     * Whether the heartbeats of more than half of the members, this process included, have reached it
     * lately.
     *
     * @return false for a process that is cut off together with a minority
     */
    public boolean hearsMajority() {
        int known = 1;
        int heard = 1;
        for (Row row : rows.values()) {
            boolean alive = isAlive(row);
            if (row.member.leaving() && !alive) {
                continue;
            }
            known++;
            heard += alive ? 1 : 0;
        }
        return heard * 2 > Math.max(known, expected);
    }

    private boolean isAlive(Row row) {
        return !row.aliveUntil.hasPassed(clock);
    }

    private record Row(Member member, Deadline aliveUntil) {}
}
