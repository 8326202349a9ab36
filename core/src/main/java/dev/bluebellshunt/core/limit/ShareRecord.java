package dev.bluebellshunt.core.limit;

import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The store's record of how a group of workspaces is shared out: parts of {@link #WHOLE} by VM.
 *
 * <p>The parts of a record always add up to the whole. Only the named incarnation of a VM may use its
 * part.
 *
 * @param shares parts by VM
 */
public record ShareRecord(SortedMap<String, Share> shares) {

    /** What all parts of a record add up to. */
    public static final int WHOLE = 1_000_000;

    public ShareRecord {
        shares = new TreeMap<>(shares);
    }

    static ShareRecord whole(String vm, long incarnation) {
        SortedMap<String, Share> shares = new TreeMap<>();
        shares.put(vm, new Share(incarnation, WHOLE));
        return new ShareRecord(shares);
    }

    int parts(String vm, long incarnation) {
        Share share = shares.get(vm);
        return share != null && share.incarnation() == incarnation ? share.parts() : 0;
    }

    @Nullable
    Share share(String vm) {
        return shares.get(vm);
    }

    /** Moves parts between two VMs, and drops a VM that has none left. */
    ShareRecord move(String from, String to, long toIncarnation, int parts) {
        SortedMap<String, Share> moved = new TreeMap<>(shares);
        Share source = moved.get(from);
        if (source == null || source.parts() < parts) {
            throw new IllegalArgumentException(from + " has fewer than " + parts + " parts");
        }
        if (source.parts() == parts) {
            moved.remove(from);
        } else {
            moved.put(from, new Share(source.incarnation(), source.parts() - parts));
        }
        Share target = moved.get(to);
        int had = target == null ? 0 : target.parts();
        moved.put(to, new Share(toIncarnation, had + parts));
        return new ShareRecord(moved);
    }

    /**
     * One VM's part.
     *
     * @param incarnation the start of the process that may use it
     * @param parts parts of {@link #WHOLE}
     */
    public record Share(long incarnation, int parts) {}
}
