package dev.bluebellshunt.relay.store;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * When the latest revisions of the store were read.
 *
 * <p>A read that returned a revision proves that every later revision was written after the read had been sent. Any
 * linearizable read counts, whatever its key. Confined to the control thread.
 */
public final class RevisionTimes {

    /** More reads than a VM makes in any deadline for operators' changes. */
    private static final int MAX_READS = 64;

    private final TreeMap<Long, Long> sentNanosByRevision = new TreeMap<>();

    /**
     * Records a read.
     *
     * @param revision the revision that it returned
     * @param sentNanos when it was sent
     */
    public void record(long revision, long sentNanos) {
        Map.Entry<Long, Long> earlier = sentNanosByRevision.floorEntry(revision);
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
    OptionalLong lastReadBefore(long revision) {
        Map.Entry<Long, Long> read = sentNanosByRevision.lowerEntry(revision);
        return read == null ? OptionalLong.empty() : OptionalLong.of(read.getValue());
    }
}
