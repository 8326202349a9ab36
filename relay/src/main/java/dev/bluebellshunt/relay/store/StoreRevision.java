package dev.bluebellshunt.relay.store;

import java.util.Comparator;

/**
 * A revision of the store.
 *
 * <p>The store may be restored from an older copy. Its revisions go back then and are assigned again, so that a revision
 * identifies a state only together with its era, which rises with each restore.
 *
 * @param era the era, {@link #NO_ERA} if the store states none
 * @param number the revision within the era
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {

    /** Era of a store that states none, and of a peer's message that lacks it. */
    public static final long NO_ERA = 0;

    /** Precedes every revision. */
    public static final StoreRevision NONE = new StoreRevision(NO_ERA, 0);

    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);

    /**
     * Numbers per era of {@link #rising()}. A restore makes the revision fall by what was written since the copy, which is
     * far below this. A thousand writes a second take 49 days to reach it, and a million eras fit into the integers that a
     * double represents exactly.
     */
    private static final long NUMBERS_PER_ERA = 1L << 32;

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }

    /**
     * Returns the later one of two revisions.
     *
     * @param other the other revision
     * @return this or the other revision
     */
    public StoreRevision later(StoreRevision other) {
        return compareTo(other) >= 0 ? this : other;
    }

    /**
     * Returns an integer that rises from each revision to the later ones, also across eras.
     *
     * @return the number itself in a store that states no era
     * @throws ArithmeticException if the era is too large, which no number of restores explains
     */
    public long rising() {
        return Math.addExact(Math.multiplyExact(era, NUMBERS_PER_ERA), number);
    }
}
