package dev.bluebellshunt.relay.store;

import dev.bluebellshunt.core.time.MonotonicClock;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides to which era of the store a response belongs, and whether it may be used.
 *
 * <p>The latest era that any response has stated is the present one. A response that states an earlier era, none after
 * others have stated one, or something that is not a positive integer, is doubtful: it comes from a store that no longer
 * exists, or from one that is not known. Thread-safe.
 */
public final class StoreEras {

    private static final Logger log = LoggerFactory.getLogger("store");

    private final MonotonicClock clock;
    private volatile StoreEra current;
    private @Nullable String lastDoubt;
    private long doubtfulResponses;

    /**
     * Creates the eras of a store that has stated none yet.
     *
     * @param clock the time source
     */
    public StoreEras(MonotonicClock clock) {
        this.clock = clock;
        this.current = new StoreEra(StoreRevision.NO_ERA, clock.nanos());
    }

    /**
     * Returns the latest era that a response has stated.
     *
     * @return the era
     */
    public StoreEra current() {
        return current;
    }

    /**
     * Returns the number of responses that were not used because of the era that they stated.
     *
     * @return the number since the start of the process
     */
    public synchronized long doubtfulResponses() {
        return doubtfulResponses;
    }

    /**
     * Records a response.
     *
     * @param stated what the response states as its era, or null if it states none
     * @return the era of the response, or empty if the response is doubtful and must not be used
     */
    public synchronized OptionalLong record(@Nullable String stated) {
        StoreEra known = current;
        if (stated == null) {
            return known.isStated() ? doubt("states no era", known) : OptionalLong.of(StoreRevision.NO_ERA);
        }
        long number = parse(stated);
        if (number <= StoreRevision.NO_ERA) {
            return doubt("states the era '" + stated + "', which is no positive integer", known);
        }
        if (number < known.number()) {
            return doubt("states the earlier era " + number, known);
        }
        if (number > known.number()) {
            current = new StoreEra(number, clock.nanos());
            if (known.isStated()) {
                log.warn(
                        "The store was restored: era {} follows era {}. Everything is read again, and leases of the"
                                + " earlier era are lost.",
                        number,
                        known.number());
            } else {
                log.info("The store is in era {}.", number);
            }
        }
        lastDoubt = null;
        return OptionalLong.of(number);
    }

    private static long parse(String stated) {
        try {
            return Long.parseLong(stated.strip());
        } catch (NumberFormatException e) {
            return StoreRevision.NO_ERA;
        }
    }

    /** Logs a doubt once until the next response that can be used, since each call to a faulty store raises it. */
    private OptionalLong doubt(String reason, StoreEra known) {
        doubtfulResponses++;
        if (!reason.equals(lastDoubt)) {
            lastDoubt = reason;
            log.warn("A response of the store is not used: it {}; the present era is {}.", reason, known.number());
        }
        return OptionalLong.empty();
    }
}
