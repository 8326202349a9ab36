package dev.bluebellshunt.core.limit;

import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The stored allocation of a group's limits: each VM's share, in parts of {@link #TOTAL_PARTS}.
 *
 * <p>The parts of a record always add up to {@link #TOTAL_PARTS}. Only the recorded incarnation of a
 * VM may use the VM's share.
 *
 * @param shares shares by VM name
 */
public record ShareRecord(SortedMap<String, Share> shares) {

    /** The sum of the parts of all shares in a record. */
    public static final int TOTAL_PARTS = 1_000_000;

    public ShareRecord {
        shares = new TreeMap<>(shares);
    }

    static ShareRecord ofSoleHolder(String vm, long incarnation) {
        SortedMap<String, Share> shares = new TreeMap<>();
        shares.put(vm, new Share(incarnation, TOTAL_PARTS));
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

    /** Returns a record with parts moved from one VM to another; a VM without parts is removed. */
    ShareRecord withTransfer(String from, String to, long toIncarnation, int parts) {
        SortedMap<String, Share> updated = new TreeMap<>(shares);
        Share source = updated.get(from);
        if (source == null || source.parts() < parts) {
            throw new IllegalArgumentException(from + " holds fewer than " + parts + " parts");
        }
        if (source.parts() == parts) {
            updated.remove(from);
        } else {
            updated.put(from, new Share(source.incarnation(), source.parts() - parts));
        }
        Share recipient = updated.get(to);
        int currentParts = recipient == null ? 0 : recipient.parts();
        updated.put(to, new Share(toIncarnation, currentParts + parts));
        return new ShareRecord(updated);
    }

    /**
     * One VM's share.
     *
     * @param incarnation the incarnation of the router process that may use the share
     * @param parts the size of the share, in parts of {@link #TOTAL_PARTS}
     */
    public record Share(long incarnation, int parts) {}
}
