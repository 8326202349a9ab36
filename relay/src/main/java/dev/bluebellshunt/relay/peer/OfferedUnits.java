package dev.bluebellshunt.relay.peer;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * What callers ask for of a workspace's limit, whether admitted or not. The offers of several VMs add up.
 *
 * @param perSecond the units per second by urgency, 0 being the most urgent
 * @param largest the units of the largest request
 */
public record OfferedUnits(Map<Integer, Double> perSecond, double largest) {

    /** Nothing is asked for. */
    public static final OfferedUnits NONE = new OfferedUnits(Map.of(), 0);

    /** Completes the offers of another version. */
    public OfferedUnits {
        perSecond = Objects.requireNonNullElse(perSecond, Map.of());
    }

    /**
     * Returns whether nothing has been asked for lately.
     *
     * @return true if there are no offers
     */
    @JsonIgnore
    public boolean isEmpty() {
        return perSecond.isEmpty() && largest == 0;
    }

    /**
     * Returns the sum of these offers and others.
     *
     * @param other the offers to add
     * @return the sum
     */
    public OfferedUnits plus(OfferedUnits other) {
        Map<Integer, Double> all = new HashMap<>(perSecond);
        other.perSecond.forEach((urgency, units) -> all.merge(urgency, units, Double::sum));
        return new OfferedUnits(all, Math.max(largest, other.largest));
    }
}
