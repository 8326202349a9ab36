package dev.bluebellshunt.relay.limit;

import dev.bluebellshunt.relay.peer.OfferedUnits;
import java.util.Map;

/**
 * Determines which share of the requests of each urgency is admitted while a workspace asks for more than its window has left.
 *
 * <p>All VMs see the same free units until they have heard of each other's admissions. The free units are therefore spread over
 * the time that a report takes, and divided between the requests that all VMs ask for. The more urgent ones come first, but
 * each urgency keeps a part of what an even division would give it. What stays free has room for the largest request, so that
 * small ones do not keep it out.
 */
final class AdmissionPolicy {

    /** Time until all VMs know of an admission, with margin: the report intervals of a member, its hub and another member. */
    static final double REPORT_SECONDS = 1;

    /** The same where each VM reports to each other one: one report interval. */
    static final double DIRECT_REPORT_SECONDS = 0.5;

    /** Part of an even division that each urgency keeps; the operators require a quarter. */
    static final double EVEN_PART = 0.4;

    /** Part of the window over which free units are spread at most; more would leave much of a limit unused. */
    private static final double MAX_SPREAD = 0.3;

    /** Units that stay free for each unit of the largest request, since the free units vary. */
    private static final double ROOM_FOR_LARGEST = 1.6;

    /** Part of a limit that counts as free besides, so that less of it stays unused; a tenth is permitted in excess of a limit. */
    private static final double PERMITTED_EXCESS = 0.07;

    /** The same where several urgencies compete: a request that does not fit is rejected regardless of its urgency. */
    private static final double COMPETING_EXCESS = 0.04;

    private AdmissionPolicy() {}

    /**
     * Returns the units that all VMs together may admit per second.
     *
     * @param free the free units of the window
     * @param limit the units of a whole window
     * @param windowSeconds the length of the window
     * @param offered what is asked for
     * @param reportSeconds the time until all VMs know of an admission
     * @return units per second
     */
    static double unitsPerSecond(
            double free, double limit, double windowSeconds, OfferedUnits offered, double reportSeconds) {
        if (limit <= 0) {
            return 0;
        }
        boolean severalUrgencies = offered.perSecond().size() > 1;
        double seconds = severalUrgencies ? REPORT_SECONDS : reportSeconds;
        double excess = (severalUrgencies ? COMPETING_EXCESS : PERMITTED_EXCESS) * limit;
        double paced = Math.max(0, free + excess) / seconds;
        double largestSeconds = Math.min(ROOM_FOR_LARGEST * offered.largest() / limit, MAX_SPREAD) * windowSeconds;
        return largestSeconds <= seconds ? paced : Math.min(paced, Math.max(0, free) / largestSeconds);
    }

    /**
     * Returns the share of requests that is admitted.
     *
     * @param urgency the urgency of the requests, 0 being the most urgent
     * @param unitsPerSecond the units that may be admitted per second
     * @param offered what is asked for
     * @return a share from 0 to 1, not less than that of a less urgent request
     */
    static double admittedShare(int urgency, double unitsPerSecond, OfferedUnits offered) {
        double total = 0;
        double moreUrgent = 0;
        for (Map.Entry<Integer, Double> entry : offered.perSecond().entrySet()) {
            total += entry.getValue();
            moreUrgent += entry.getKey() < urgency ? entry.getValue() : 0;
        }
        if (total <= unitsPerSecond) {
            return 1;
        }
        double even = EVEN_PART * unitsPerSecond / total;
        double own = offered.perSecond().getOrDefault(urgency, 0.0);
        double left = unitsPerSecond - even * total - (1 - even) * moreUrgent;
        return own <= 0 ? even : Math.clamp(even + Math.max(0, left) / own, even, 1);
    }
}
