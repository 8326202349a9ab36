package dev.bluebellshunt.relay.release;

import dev.bluebellshunt.relay.peer.ReleaseCounts;
import dev.bluebellshunt.relay.peer.ReleaseCounts.RouteCounts;
import dev.bluebellshunt.relay.peer.ReleaseCounts.VersionCounts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

/**
 * Decides how a release goes on, from the outcomes at both versions over all VMs. A pure function.
 *
 * <p>A version is bad if its failures or slow responses on a route, or on all routes, would be very improbable at the
 * rate of the old version. The new targets are in two groups: a faulty target makes only one of them look bad, a bad
 * version both. All times are fractions of the period that the operator gave, so that the store may be unavailable for a
 * part of it.
 */
public final class ReleaseDecision {

    /** Number of groups of new targets that are compared separately. */
    static final int GROUPS = 2;

    /** Separates the route from the group in the name of counts. */
    private static final String GROUP_MARK = "#";

    /** Until this fraction of the period, the share grows. */
    static final double VERIFY_FROM = 0.2;

    /** Earliest acceptance. A later one shortens the time for which a version that turns bad later gets all requests. */
    static final double ACCEPT_FROM = 0.66;

    /** Latest acceptance; what is not found good by then is rolled back. */
    static final double ACCEPT_UNTIL = 0.8;

    /** Completion without waiting for the last requests at the old version; the rest is for the writes. */
    static final double COMPLETE_BY = 0.9;

    /** The fraction of the permitted requests that is used at the begin of the canary. */
    private static final double FIRST_LIMIT = 0.4;

    /** Load of a new target relative to that of an old one while it is verified, so that faults under load show. */
    private static final double VERIFIED_LOAD = 1.2;

    /** Slots per period. */
    static final int SLOTS = 30;

    /**
     * Maximum number of slots per cycle. Requests go to the new version in one slot of a cycle, so that a target of a small
     * pool, for which the permitted share is less than the load of an old target, is loaded for the whole slot.
     */
    private static final int MAX_CYCLE = 3;

    /** Probability below which the outcomes of a good version are taken as those of a bad one; it is tested often. */
    private static final double CERTAINLY_BAD = 1e-6;

    /** The same, for an accepted version: it is seen at full load, beside no other, and often more than once. */
    private static final double CERTAINLY_BAD_ACCEPTED = 1e-8;

    /** Probability below which a version is not accepted yet. */
    private static final double DOUBTFUL = 0.1;

    /** Probability below which a version is not accepted at the latest time. */
    private static final double DOUBTFUL_AT_END = 1e-3;

    /** Probability below which a group counts as affected too. */
    private static final double GROUP_AFFECTED = 1e-3;

    /** The same for an accepted version, of which each group soon has many requests. */
    private static final double GROUP_AFFECTED_ACCEPTED = 1e-5;

    /** The same at the latest time of acceptance, when both errors are equally costly. */
    private static final double GROUP_AFFECTED_AT_END = 0.02;

    /** Factor on both for failures, which a faulty target, other than a bad version, rarely has. */
    private static final double FAILURE_FACTOR = 10;

    /** Probability above which a group looks good. */
    private static final double GROUP_GOOD = 0.2;

    /** Requests of a group below which it says nothing. */
    private static final int MIN_GROUP_REQUESTS = 4;

    /** Expected requests to the new version above which their absence is suspicious. */
    private static final int MIN_EXPECTED_REQUESTS = 8;

    /** Fraction of the expected requests that must have ended before a version is accepted. */
    private static final double MIN_ENDED_FRACTION = 0.25;

    private static final String FAILURES = "failures";

    /** The decision of a VM that sends nothing to the new version for now. */
    static final Verdict SUSPENDED = Verdict.none(Action.SUSPEND, "suspended");

    private ReleaseDecision() {}

    /**
     * What is known of a release.
     *
     * @param phase the phase
     * @param elapsed the time since the order, as a fraction of its period
     * @param canaryShare the permitted share of the requests
     * @param total the outcomes since the order
     * @param recent the outcomes of the last part of the period
     * @param oldTargets the number of targets of the old version
     * @param newTargets the number of targets of the new version
     * @param oldIdle whether no request has been at a target of the old version since some time after the acceptance
     */
    public record Input(
            ReleasePhase phase,
            double elapsed,
            double canaryShare,
            ReleaseCounts total,
            ReleaseCounts recent,
            int oldTargets,
            int newTargets,
            boolean oldIdle) {}

    /** What to do. */
    public enum Action {
        /** Sends a share of the requests to the new version. */
        CONTINUE,
        /** Sends nothing to the new version for now. */
        SUSPEND,
        /** Sends all requests to the new version. */
        ACCEPT,
        /** Permits the targets of the old version to stop. */
        COMPLETE,
        /** Sends nothing to the new version any more. */
        ROLL_BACK
    }

    /**
     * A decision.
     *
     * @param action what to do
     * @param share the wanted share of the requests for the new version
     * @param limit the fraction of the permitted requests that may be used by now
     * @param targets the number of new targets that the share goes to
     * @param firstTarget the rank of the first of them, to be taken modulo the number of new targets
     * @param slots the time since the order, in slots
     * @param reason the figures that determined the decision, for the log
     */
    public record Verdict(
            Action action, double share, double limit, int targets, int firstTarget, double slots, String reason) {

        private static Verdict none(Action action, String reason) {
            return new Verdict(action, 0, 0, 0, 0, 0, reason);
        }

        private static Verdict all(Action action, Input input, String reason) {
            return new Verdict(action, 1, 1, input.newTargets(), 0, 0, reason);
        }
    }

    /**
     * Returns the name under which the outcomes of a route at a group of targets are counted.
     *
     * @param route the name of the route
     * @param group the group of targets
     * @return the name
     */
    public static String countName(String route, int group) {
        return route + GROUP_MARK + group;
    }

    /**
     * Decides how a release goes on.
     *
     * @param input what is known of it
     * @return the decision; in a final phase, the one that led to it
     */
    public static Verdict decide(Input input) {
        return switch (input.phase()) {
            case UNKNOWN -> Verdict.none(Action.SUSPEND, "the phase is not known");
            case COMPLETED -> Verdict.all(Action.COMPLETE, input, "completed");
            case ROLLED_BACK -> Verdict.none(Action.ROLL_BACK, "rolled back");
            case RUNNING -> decideRunning(input);
            case ACCEPTED -> decideAccepted(input);
        };
    }

    private static Verdict decideRunning(Input input) {
        String fault = findFault(input, CERTAINLY_BAD, GROUP_AFFECTED);
        if (!fault.isEmpty()) {
            return Verdict.none(Action.ROLL_BACK, fault);
        }
        if (input.elapsed() >= 1) {
            return Verdict.none(Action.ROLL_BACK, "the deadline has passed");
        }
        if (input.newTargets() == 0) {
            return input.elapsed() < ACCEPT_UNTIL
                    ? Verdict.none(Action.SUSPEND, "no target of the new version accepts requests")
                    : Verdict.none(Action.ROLL_BACK, "no target of the new version has appeared in time");
        }
        if (input.oldTargets() == 0) {
            return Verdict.all(Action.ACCEPT, input, "there is no target of another version");
        }
        if (input.elapsed() >= ACCEPT_FROM) {
            String doubt = findDoubt(input);
            if (doubt.isEmpty()) {
                return Verdict.all(Action.ACCEPT, input, "good: " + describe(input));
            }
            if (input.elapsed() >= ACCEPT_UNTIL) {
                return Verdict.none(Action.ROLL_BACK, "not found good in time: " + doubt);
            }
        }
        int targets = Math.clamp((long) (input.canaryShare() * input.oldTargets()), 1, input.newTargets());
        double growth = Math.min(1, input.elapsed() / VERIFY_FROM);
        double loading = Math.min(1, VERIFIED_LOAD * targets / input.oldTargets());
        int cycle = Math.clamp((long) Math.ceil(loading / input.canaryShare()), 1, MAX_CYCLE);
        int slot = (int) (input.elapsed() * SLOTS);
        boolean sends = slot % cycle == 0 || slot < SLOTS * VERIFY_FROM;
        return new Verdict(
                Action.CONTINUE,
                sends ? Math.max(loading, input.canaryShare()) : 0,
                FIRST_LIMIT + (1 - FIRST_LIMIT) * growth,
                targets,
                firstTarget(slot / (slot < SLOTS * VERIFY_FROM ? 1 : cycle), targets, input.newTargets()),
                input.elapsed() * SLOTS,
                describe(input));
    }

    /** Returns the rank of the first target of a turn. A turn with one target alternates between the groups. */
    private static int firstTarget(int turn, int targets, int newTargets) {
        if (targets > 1 || newTargets < GROUPS) {
            return turn * targets % newTargets;
        }
        int group = turn % GROUPS;
        int groupSize = (newTargets + 1 - group) / GROUPS;
        return group + GROUPS * (turn / GROUPS % groupSize);
    }

    private static Verdict decideAccepted(Input input) {
        String fault = findFault(input, CERTAINLY_BAD_ACCEPTED, GROUP_AFFECTED_ACCEPTED);
        if (!fault.isEmpty()) {
            return Verdict.none(Action.ROLL_BACK, "after acceptance: " + fault);
        }
        if (input.newTargets() > 0 && (input.oldIdle() || input.elapsed() >= COMPLETE_BY)) {
            return Verdict.all(
                    Action.COMPLETE, input, input.oldIdle() ? "the old version is idle" : "the deadline is near");
        }
        return Verdict.all(Action.CONTINUE, input, "accepted");
    }

    private static String findFault(Input input, double certain, double affected) {
        for (ReleaseCounts counts : List.of(input.total(), input.recent())) {
            for (Comparison comparison : compare(counts, input.total())) {
                if (comparison.probability() < certain && comparison.affectsAllGroups(input.newTargets(), affected)) {
                    return comparison.describe();
                }
            }
        }
        return "";
    }

    private static String findDoubt(Input input) {
        long oldRequests = 0;
        long newRequests = 0;
        for (RouteCounts counts : input.total().byRoute().values()) {
            oldRequests += counts.oldVersion().requests();
            newRequests += counts.newVersion().requests();
        }
        double expected = input.canaryShare() * ReleaseExposure.USED_FRACTION * oldRequests;
        if (expected >= MIN_EXPECTED_REQUESTS && newRequests < expected * MIN_ENDED_FRACTION) {
            return newRequests + " of about " + Math.round(expected) + " requests have ended at the new version";
        }
        if (input.elapsed() >= ACCEPT_UNTIL) {
            return findFault(input, DOUBTFUL_AT_END, GROUP_AFFECTED_AT_END);
        }
        for (ReleaseCounts counts : List.of(input.total(), input.recent())) {
            for (Comparison comparison : compare(counts, input.total())) {
                if (comparison.probability() < DOUBTFUL && !comparison.hasGoodGroup()) {
                    return comparison.describe();
                }
            }
        }
        return "";
    }

    private static String describe(Input input) {
        VersionCounts oldSum = VersionCounts.NONE;
        VersionCounts newSum = VersionCounts.NONE;
        for (RouteCounts counts : input.total().byRoute().values()) {
            oldSum = oldSum.plus(counts.oldVersion());
            newSum = newSum.plus(counts.newVersion());
        }
        return "old " + describe(oldSum) + ", new " + describe(newSum);
    }

    private static String describe(VersionCounts counts) {
        return counts.requests() + " requests, " + counts.failures() + " failed, " + counts.slow() + " slow, "
                + counts.lost() + " lost";
    }

    private static List<Comparison> compare(ReleaseCounts counts, ReleaseCounts baseline) {
        Map<String, VersionCounts> oldByRoute = new HashMap<>();
        baseline.byRoute().forEach((name, route) -> {
            oldByRoute.merge(routeOf(name), route.oldVersion(), VersionCounts::plus);
            oldByRoute.merge("", route.oldVersion(), VersionCounts::plus);
        });
        Map<String, VersionCounts[]> newByRoute = new HashMap<>();
        counts.byRoute().forEach((name, route) -> {
            for (String key : List.of(routeOf(name), "")) {
                VersionCounts[] groups = newByRoute.computeIfAbsent(
                        key, k -> new VersionCounts[] {VersionCounts.NONE, VersionCounts.NONE});
                int group = name.endsWith(GROUP_MARK + "1") ? 1 : 0;
                groups[group] = groups[group].plus(route.newVersion());
            }
        });
        List<Comparison> comparisons = new ArrayList<>();
        newByRoute.forEach((route, groups) -> {
            VersionCounts old = oldByRoute.getOrDefault(route, VersionCounts.NONE);
            comparisons.add(Comparison.of(route, FAILURES, old, groups, VersionCounts::failures));
            comparisons.add(Comparison.of(route, "slow responses", old, groups, VersionCounts::slow));
        });
        return comparisons;
    }

    private static String routeOf(String name) {
        int mark = name.lastIndexOf(GROUP_MARK);
        return mark < 0 ? name : name.substring(0, mark);
    }

    /** The bad responses of one kind on one route: of the new version by group, and their rate if it is good. */
    private record Comparison(String route, String kind, double goodRate, List<Long> bad, List<Long> requests) {

        /**
         * Compares the versions. The rate of the old version is taken a standard deviation higher than observed, plus 0.3 %,
         * since few requests may have ended and a new target starts without caches.
         */
        private static Comparison of(
                String route,
                String kind,
                VersionCounts old,
                VersionCounts[] groups,
                ToLongFunction<VersionCounts> badOf) {
            double known = badOf.applyAsLong(old) + 1.0;
            double goodRate = (known + Math.sqrt(known)) / (old.requests() + 10) + 0.003;
            List<Long> bad = Stream.of(groups).map(badOf::applyAsLong).toList();
            List<Long> requests = Stream.of(groups).map(VersionCounts::requests).toList();
            return new Comparison(route, kind, Math.min(0.9, goodRate), bad, requests);
        }

        private double probability() {
            return tail(bad.get(0) + bad.get(1), requests.get(0) + requests.get(1), goodRate);
        }

        private boolean affectsAllGroups(int newTargets, double affected) {
            if (newTargets < GROUPS) {
                return true;
            }
            double limit = kind.equals(FAILURES) ? FAILURE_FACTOR * affected : affected;
            for (int i = 0; i < GROUPS; i++) {
                if (requests.get(i) < MIN_GROUP_REQUESTS || tail(bad.get(i), requests.get(i), goodRate) >= limit) {
                    return false;
                }
            }
            return true;
        }

        private boolean hasGoodGroup() {
            for (int i = 0; i < GROUPS; i++) {
                if (requests.get(i) >= 2 * MIN_GROUP_REQUESTS
                        && tail(bad.get(i), requests.get(i), goodRate) >= GROUP_GOOD) {
                    return true;
                }
            }
            return false;
        }

        private String describe() {
            return "%s on %s: %d of %d and %d of %d, good rate at most %.3f"
                    .formatted(
                            kind,
                            route.isEmpty() ? "all routes" : "route " + route,
                            bad.get(0),
                            requests.get(0),
                            bad.get(1),
                            requests.get(1),
                            goodRate);
        }
    }

    /** Returns the probability of at least some number of bad responses, each of which has the same probability. */
    static double tail(long atLeast, long requests, double rate) {
        if (atLeast <= 0) {
            return 1;
        }
        if (atLeast > requests || atLeast <= requests * rate) {
            return atLeast > requests ? 0 : 1;
        }
        double logTerm = 0;
        for (long i = 1; i <= atLeast; i++) {
            logTerm += Math.log((requests - atLeast + i) / (double) i);
        }
        logTerm += atLeast * Math.log(rate) + (requests - atLeast) * Math.log1p(-rate);
        double term = Math.exp(logTerm);
        double sum = term;
        for (long i = atLeast + 1; i <= requests && term > sum * 1e-6; i++) {
            term *= (requests - i + 1) / (double) i * rate / (1 - rate);
            sum += term;
        }
        return Math.min(1, sum);
    }
}
