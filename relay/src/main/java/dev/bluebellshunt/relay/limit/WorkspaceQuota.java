package dev.bluebellshunt.relay.limit;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.peer.OfferedUnits;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Sliding-window counter of the units that this VM has admitted for a workspace.
 *
 * <p>A request larger than the limit is admitted when most of the limit is free, so that it does not starve.
 * Thread-safe.
 */
final class WorkspaceQuota {

    /** Number of slots that peers' reports may lag behind, due to the report interval and the network delay. */
    private static final int UNREPORTED_SLOTS = 1;

    /** Part of a limit from which on this VM reports what it is asked for, so that others know it before the limit is used up. */
    private static final double REPORTED_USE = 0.5;

    private final MonotonicClock clock;
    private final SlidingSum admitted;
    private final OfferMeter offers;
    private final RandomGenerator random;
    private final double windowSeconds;
    private final Map<Integer, Double> credits = new HashMap<>();
    private final Duration window;
    private Deadline shortageEnd;
    private long largestSlot;
    private double largestInSlot;
    private double share;
    private boolean initialized;
    private double admittedSinceDrain;

    /**
     * Usage of the limit by the other VMs.
     *
     * @param limit the units that this VM and the reporting peers may admit together within a window
     * @param reported the units that the reporting peers had admitted as of their latest reports
     * @param estimated the units that they have admitted by now, if they went on at the reported rates
     * @param oversizedThreshold the free units that suffice to admit a request of any size
     */
    record PeerUsage(double limit, double reported, double estimated, double oversizedThreshold) {}

    WorkspaceQuota(MonotonicClock clock, Duration window, RandomGenerator random) {
        this.admitted = new SlidingSum(clock, window);
        this.offers = new OfferMeter(clock, window);
        this.random = random;
        this.clock = clock;
        this.window = window;
        this.shortageEnd = new Deadline(clock.nanos());
        this.windowSeconds = (double) window.toNanos() / TimeUnit.SECONDS.toNanos(1);
    }

    /**
     * Sets this VM's share of the limit.
     *
     * @param newShare the share in units per window
     * @param admittedBeforeRestart the units admitted in the last window before a restart; the first call
     *     distributes them evenly over the window
     */
    synchronized void updateShare(double newShare, double admittedBeforeRestart) {
        if (!initialized) {
            initialized = true;
            admitted.fillEvenly(admittedBeforeRestart);
        }
        share = newShare;
    }

    synchronized double share() {
        return share;
    }

    /**
     * Admits a request if it fits into the limit, and if its turn has come where requests compete for the rest of the limit.
     *
     * @param cost the cost of the request in units
     * @param urgency the urgency of the request, 0 being the most urgent
     * @param peers the usage by the other VMs
     * @param peerOffers what the callers of the other VMs ask for
     * @param reportSeconds the time until all VMs know of an admission
     * @return zero if the request was admitted, otherwise the estimated time until it fits
     */
    synchronized Duration admit(
            double cost, int urgency, PeerUsage peers, OfferedUnits peerOffers, double reportSeconds) {
        offers.record(urgency, cost);
        boolean competes = !peerOffers.perSecond().isEmpty();
        double used = admitted.total()
                + (competes
                        ? peers.estimated()
                        : Math.max(peers.estimated(), peers.reported() + estimateUnreported(peers)));
        double needed = Math.min(cost, peers.oversizedThreshold());
        if (used > REPORTED_USE * peers.limit()) {
            // What was admitted at the same time leaves the window at the same time, and is asked for again then.
            shortageEnd = Deadline.after(clock, window);
        }
        double share = admittedShare(urgency, peers.limit(), peers.limit() - used, peerOffers, reportSeconds);
        boolean fits = initialized && used + needed <= peers.limit();
        if (!fits && share >= 1) {
            return Duration.ofNanos(admitted.slotNanos() * slotsUntilFree(used + needed - peers.limit(), used));
        }
        if (!fits || !takeTurn(urgency, share)) {
            return returnDelay(share);
        }
        chargeAdmitted(cost);
        return Duration.ZERO;
    }

    /**
     * Admits a request if it fits into the limit, in the order of arrival.
     *
     * @param cost the cost of the request in units
     * @param peers the usage by the other VMs
     * @return zero if the request was admitted, otherwise the estimated time until it fits
     */
    synchronized Duration admit(double cost, PeerUsage peers) {
        double used = admitted.total() + Math.max(peers.estimated(), peers.reported() + estimateUnreported(peers));
        double needed = Math.min(cost, peers.oversizedThreshold());
        if (!initialized || used + needed > peers.limit()) {
            return Duration.ofNanos(admitted.slotNanos() * slotsUntilFree(used + needed - peers.limit(), used));
        }
        chargeAdmitted(cost);
        return Duration.ZERO;
    }

    private void chargeAdmitted(double cost) {
        charge(cost);
        largestInSlot = largestSlot == admitted.currentSlot() ? Math.max(largestInSlot, cost) : cost;
        largestSlot = admitted.currentSlot();
    }

    /**
     * Returns the share of requests of an urgency that is admitted. A VM whose callers ask for requests of one urgency, while the
     * other VMs are asked for none, has nothing to divide.
     */
    private double admittedShare(
            int urgency, double limit, double free, OfferedUnits peerOffers, double reportSeconds) {
        OfferedUnits own = offers.offered();
        if (peerOffers.perSecond().isEmpty() && own.perSecond().size() == 1) {
            return 1;
        }
        OfferedUnits all = own.plus(peerOffers);
        double rate = AdmissionPolicy.unitsPerSecond(free, limit, windowSeconds, all, reportSeconds);
        return AdmissionPolicy.admittedShare(urgency, rate, all);
    }

    /** Returns whether a request is one of the admitted share. The first is random, so that VMs do not admit at the same time. */
    private boolean takeTurn(int urgency, double share) {
        if (share >= 1) {
            return true;
        }
        double credit = credits.computeIfAbsent(urgency, u -> random.nextDouble()) + share;
        credits.put(urgency, credit >= 1 ? credit - 1 : credit);
        return credit >= 1;
    }

    /**
     * Returns when a request that competes may return. It takes the inverse of the admitted share in attempts, so the less
     * urgent return later. The times are spread, so that those that are rejected together do not return together.
     */
    private Duration returnDelay(double share) {
        double seconds = share <= 0 ? windowSeconds : Math.min(windowSeconds, AdmissionPolicy.REPORT_SECONDS / share);
        return Duration.ofNanos((long) (seconds * (0.5 + random.nextDouble() / 2) * TimeUnit.SECONDS.toNanos(1)));
    }

    /** Returns what callers ask this VM for, if the limit is short of capacity. */
    synchronized OfferedUnits offered() {
        return shortageEnd.hasPassed(clock) ? OfferedUnits.NONE : offers.offered();
    }

    /**
     * Estimates what the peers have admitted since their latest reports, assuming the same ratio of recent to
     * total admissions as on this VM. Without the estimate, every VM would admit the same free units. Where the peers have reported
     * what they are asked for, {@link AdmissionPolicy} divides the free units instead. A VM that has
     * admitted a single request recently can't tell a ratio.
     */
    private double estimateUnreported(PeerUsage peers) {
        double total = admitted.total();
        if (total <= 0) {
            return 0;
        }
        double largest = largestSlot == admitted.currentSlot() ? largestInSlot : 0;
        double recent = admitted.recent(UNREPORTED_SLOTS - 1) - largest;
        return peers.reported() * Math.clamp(recent / total, 0, 1);
    }

    /** Returns the number of slots until the excess has expired, assuming that the peers' slots are distributed alike. */
    private int slotsUntilFree(double excess, double used) {
        double total = admitted.total();
        double scale = total <= 0 ? 0 : used / total;
        double freed = 0;
        for (int slots = 1; slots <= SlidingSum.SLOTS; slots++) {
            freed += admitted.expiringWith(slots) * scale;
            if (freed >= excess) {
                return slots;
            }
        }
        return SlidingSum.SLOTS;
    }

    /** Refunds the cost of a request that no target has executed. */
    synchronized void refund(double cost) {
        charge(-Math.min(cost, admitted.recent(0)));
    }

    private void charge(double cost) {
        admitted.add(cost);
        admittedSinceDrain += cost;
    }

    /** Returns the units admitted within the current window. */
    synchronized double admitted() {
        return Math.max(0, admitted.total());
    }

    /** Returns the units currently admitted per second. */
    synchronized double admittedPerSecond() {
        return admitted.perSecond();
    }

    /** Returns the units admitted since the previous call, and resets the count. */
    synchronized double drainAdmitted() {
        double drained = Math.max(0, admittedSinceDrain);
        admittedSinceDrain = 0;
        return drained;
    }
}
