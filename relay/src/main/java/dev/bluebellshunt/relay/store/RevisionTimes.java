package dev.bluebellshunt.relay.store;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * When the latest revisions of the store were read.
 *
 * <p>A read that returned a revision proves that every later revision was written after the read had been sent. Any
 * linearizable read counts, whatever its key. Only reads of the latest era are kept: revisions of an earlier one are assigned again
 * after a restore. Confined to the control thread.
 */
public final class RevisionTimes {

    /** More reads than a VM makes in any deadline for operators' changes. */
    private static final int MAX_READS = 64;

    private final TreeMap<StoreRevision, Long> sentNanosByRevision = new TreeMap<>();

    /**
     * Records a read.
     *
     * @param revision the revision that it returned
     * @param sentNanos when it was sent
     */
    public void record(StoreRevision revision, long sentNanos) {
        if (!sentNanosByRevision.isEmpty()) {
            long latestEra = sentNanosByRevision.lastKey().era();
            if (revision.era() < latestEra) {
                return;
            }
            if (revision.era() > latestEra) {
                sentNanosByRevision.clear();
            }
        }
        Map.Entry<StoreRevision, Long> earlier = sentNanosByRevision.floorEntry(revision);
        if (earlier != null && earlier.getValue() - sentNanos >= 0) {
            return;
        }
        sentNanosByRevision.tailMap(revision, true).values().removeIf(nanos -> nanos - sentNanos <= 0);
        sentNanosByRevision.put(revision, sentNanos);
        if (sentNanosByRevision.size() > MAX_READS) {
            sentNanosByRevision.pollFirstEntry();
        }
    }

    /**
     * Returns the latest known time before the write of a revision.
     *
     * @param revision the revision
     * @return when the last read was sent that did not cover the revision, or empty if none is known
     */
    OptionalLong lastReadBefore(StoreRevision revision) {
        Map.Entry<StoreRevision, Long> read = sentNanosByRevision.lowerEntry(revision);
        return read == null ? OptionalLong.empty() : OptionalLong.of(read.getValue());
    }
}
