package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.model.PoolSpec;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.peer.PeerReportTable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Selects a target from a pool.
 *
 * <p>Requests with the same prompt prefix have one home engine, determined by rendezvous hashing weighted with the speeds
 * of the engines, so that all VMs agree on it without communication. A request is diverted only if it would start considerably sooner on
 * another engine; engines are then preferred in rendezvous order. Requests without an affinity key go to the
 * target with the fewest open requests for its number of slots.
 */
public final class PoolTargetSelector {

    /**
     * Time by which the queue of the home engine may exceed that of another engine: short relative to the latency
     * objectives, but more than the prefill of one long prompt.
     */
    static final double HOME_PREFERENCE_MILLIS = 267;

    /** Time added per rank in rendezvous order, so that diverted requests of a prefix share an engine again. */
    static final double RANK_PENALTY_MILLIS = 20;

    /** Number of engines in rendezvous order to which a prompt is preferably diverted. */
    static final int PREFERRED_ENGINES = 5;

    /**
     * Mean number of other engines that are considered, at random. All VMs see the same queues, which are up to half a
     * second old; if all considered the engine with the shortest one, it would get the diverted prompts of all.
     */
    static final double OTHER_ENGINES = 3;

    /**
     * By how many times the own waiting requests the VM assumes the other VMs to have sent as well since their reports,
     * at most. It is no more than the ratio of the requests that are open at the engine.
     */
    static final int MAX_UNREPORTED_RATIO = 4;

    /** Time that a request beyond the slots of an average engine waits until another request has ended. */
    static final double QUEUED_REQUEST_MILLIS = 67;

    /**
     * Share of the waiting tokens of less urgent requests that counts as a cost. The engine computes the prompt before
     * them, but that delays them; their objectives are farther away.
     */
    static final double DELAYED_SHARE = 0.5;

    /** Weight of this VM's own requests, which are known at once; those of peers are known one report later. */
    static final int LOCAL_REQUEST_WEIGHT = 2;

    private final RandomGenerator random;
    private final PeerReportTable peers;

    /**
     * Creates a selector.
     *
     * @param random the source of randomness for breaking ties
     * @param peers the in-flight load reported by the other VMs
     */
    public PoolTargetSelector(RandomGenerator random, PeerReportTable peers) {
        this.random = random;
        this.peers = peers;
    }

    /**
     * The criteria for selecting a target.
     *
     * @param triedIds ids of the targets that the request has already been sent to
     * @param affinityKey the key shared by requests with the same home engine, or null for none
     * @param model the requested model, or null
     * @param minWeightsVersion the oldest version of the model's weights that may run the request, or zero for any
     * @param avoidedTargets targets to select only if there is no other
     * @param tokens the size of the request in tokens
     * @param priority the priority of the request, 0 being the highest
     * @param uncachedTokens estimates how many tokens of the prompt an engine has to compute
     * @param engineSpec the capacity of the pool's engines, or null for a pool of applications
     */
    public record Request(
            Set<String> triedIds,
            @Nullable String affinityKey,
            @Nullable String model,
            long minWeightsVersion,
            Set<TargetEntry.Incarnation> avoidedTargets,
            long tokens,
            int priority,
            ToLongFunction<LiveTarget> uncachedTokens,
            PoolSpec.@Nullable EngineSpec engineSpec) {

        private boolean isEligible(LiveTarget target) {
            return target.acceptsRequests()
                    && !triedIds.contains(target.entry().id())
                    && (model == null || minWeightsVersion == 0 || target.weightsVersion(model) >= minWeightsVersion);
        }
    }

    /**
     * A selected target.
     *
     * @param target the target
     * @param backlogTokens prompt tokens to process before a request that can still meet its objective
     * @param lateTokens additional prompt tokens to process before a request that can't meet its objective
     * @param queuedRequests the requests that wait for a slot of an application, including this one
     */
    public record Selection(LiveTarget target, long backlogTokens, long lateTokens, int queuedRequests) {

        /**
         * Returns how long the engine takes to compute prompt tokens.
         *
         * @param tokens the number of tokens
         * @return the time in milliseconds, rounded down
         */
        long prefillMillis(long tokens) {
            return (long) (tokens
                    / (EngineSpeeds.TOKENS_PER_MS * target.load().speed().factor()));
        }
    }

    /**
     * Selects a target.
     *
     * @param targets the targets of the pool
     * @param request the selection criteria
     * @return the selected target, or empty if no target is eligible
     */
    public Optional<Selection> select(List<LiveTarget> targets, Request request) {
        List<LiveTarget> eligible = new ArrayList<>(targets.size());
        for (LiveTarget target : targets) {
            if (request.isEligible(target)) {
                eligible.add(target);
            }
        }
        List<LiveTarget> candidates =
                filterIfAny(eligible, target -> target.load().isUsable());
        candidates = filterIfAny(
                candidates,
                target -> !request.avoidedTargets().contains(target.entry().incarnation()));
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        String affinityKey = request.affinityKey();
        return Optional.of(
                affinityKey == null
                        ? selectLeastLoaded(candidates)
                        : selectByAffinity(candidates, affinityKey, request));
    }

    /**
     * Returns when a caller should try again if no target is eligible because targets want no requests for some time.
     *
     * @param targets the targets of the pool
     * @param clock the time source
     * @return the time until the first of them accepts requests, and up to half of it more, so that callers do not
     *     return all at once; empty if no target has said when
     */
    public Optional<Duration> retryDelay(List<LiveTarget> targets, MonotonicClock clock) {
        return targets.stream()
                .filter(target -> !target.isLeaving() && target.load().isRefusing())
                .map(target -> target.load().refusalEnd().remaining(clock))
                .min(Comparator.naturalOrder())
                .map(delay -> delay.plusNanos(random.nextLong(delay.toNanos() / 2 + 1)));
    }

    /** Returns the targets that match, or all targets if none does. */
    private static List<LiveTarget> filterIfAny(List<LiveTarget> targets, Predicate<LiveTarget> predicate) {
        List<LiveTarget> matching = targets.stream().filter(predicate).toList();
        return matching.isEmpty() ? targets : matching;
    }

    /**
     * Returns the target that requests with an affinity key go to unless it is overloaded.
     *
     * @param targets the targets of the pool
     * @param affinityKey the key shared by the requests
     * @return the home target, or empty if no target accepts requests
     */
    public static Optional<LiveTarget> homeTarget(List<LiveTarget> targets, String affinityKey) {
        List<LiveTarget> usable = targets.stream()
                .filter(target -> target.acceptsRequests() && target.load().isUsable())
                .toList();
        return usable.isEmpty() ? Optional.empty() : Optional.of(RendezvousOrder.first(usable, affinityKey));
    }

    private Selection selectLeastLoaded(List<LiveTarget> candidates) {
        int start = random.nextInt(candidates.size());
        LiveTarget best = candidates.get(start);
        double shortestWait = requestsPerSlot(best);
        for (int i = 1; i < candidates.size(); i++) {
            LiveTarget next = candidates.get((start + i) % candidates.size());
            double wait = requestsPerSlot(next);
            if (wait < shortestWait) {
                best = next;
                shortestWait = wait;
            }
        }
        return new Selection(
                best, 0, 0, Math.max(0, load(best).requests() + 1 - best.entry().slots()));
    }

    /** Returns a measure of the wait at a target: its requests, relative to how many it runs concurrently. */
    private double requestsPerSlot(LiveTarget target) {
        int requests = LOCAL_REQUEST_WEIGHT * target.load().inFlightLoad().requests()
                + peers.loadOn(target.entry().id()).requests();
        return requests / (double) Math.max(1, target.entry().slots());
    }

    private Selection selectByAffinity(List<LiveTarget> candidates, String affinityKey, Request request) {
        LiveTarget home = RendezvousOrder.first(candidates, affinityKey);
        long promptTokens = request.uncachedTokens().applyAsLong(home);
        // Most requests go to an engine with a short queue, and need no order of the others.
        double homeMillis = millis(home, request, promptTokens);
        return homeMillis <= HOME_PREFERENCE_MILLIS + fewestMillis(candidates, promptTokens)
                ? selection(home, request)
                : selection(leastCostly(candidates, affinityKey, request, promptTokens), request);
    }

    private LiveTarget leastCostly(
            List<LiveTarget> candidates, String affinityKey, Request request, long promptTokens) {
        List<LiveTarget> ranked = RendezvousOrder.rank(candidates, affinityKey);
        LiveTarget best = ranked.getFirst();
        double lowestCost = Double.MAX_VALUE;
        int others = ranked.size() - PREFERRED_ENGINES;
        for (int rank = 0; rank < ranked.size(); rank++) {
            if (rank >= PREFERRED_ENGINES && random.nextDouble() * others >= OTHER_ENGINES) {
                continue;
            }
            LiveTarget target = ranked.get(rank);
            double cost = millis(target, request, promptTokens)
                    + (rank == 0
                            ? 0
                            : HOME_PREFERENCE_MILLIS + Math.min(rank, PREFERRED_ENGINES) * RANK_PENALTY_MILLIS);
            if (cost < lowestCost) {
                best = target;
                lowestCost = cost;
            }
        }
        return best;
    }

    /** Returns the time to the first event on the fastest engine, if nothing waits there. */
    private static double fewestMillis(List<LiveTarget> candidates, long promptTokens) {
        double fastest = 0;
        for (LiveTarget candidate : candidates) {
            fastest = Math.max(fastest, candidate.load().speed().factor());
        }
        return promptTokens / (EngineSpeeds.TOKENS_PER_MS * fastest);
    }

    private Selection selection(LiveTarget target, Request request) {
        InFlightLoad load = load(target);
        return new Selection(target, backlogTokens(target, load, request), load.lateTokens(), 0);
    }

    private InFlightLoad load(LiveTarget target) {
        return target.load().inFlightLoad().plus(peers.loadOn(target.entry().id()));
    }

    /**
     * Returns the estimated time to the first event on a target, including requests that other VMs have probably sent, and
     * a share of the delay of less urgent requests.
     */
    private double millis(LiveTarget target, Request request, long promptTokens) {
        InFlightLoad own = target.load().inFlightLoad();
        InFlightLoad reported = peers.loadOn(target.entry().id());
        InFlightLoad load = own.plus(reported);
        int unreportedRatio = Math.min(MAX_UNREPORTED_RATIO, reported.requests() / Math.max(1, own.requests()));
        long waiting = load.waitingTokens() + unreportedRatio * own.waitingTokens();
        long ahead = load.tokensAhead(request.priority()) + unreportedRatio * own.tokensAhead(request.priority());
        double tokens = ahead
                + DELAYED_SHARE * Math.max(0, waiting - ahead)
                + excessTokens(target, load, request)
                + promptTokens;
        return tokens / (EngineSpeeds.TOKENS_PER_MS * target.load().speed().factor());
    }

    /** Returns the prompt tokens that a target computes before those of the request. */
    private static long backlogTokens(LiveTarget target, InFlightLoad load, Request request) {
        return load.tokensAhead(request.priority()) + excessTokens(target, load, request);
    }

    /** Returns the tokens that exceed the cache of a target, and an equivalent for the requests that exceed its slots. */
    private static long excessTokens(LiveTarget target, InFlightLoad load, Request request) {
        long excess = 0;
        PoolSpec.EngineSpec engine = request.engineSpec();
        if (engine != null && engine.cacheTokens() > 0) {
            excess = Math.max(0, load.tokens() + request.tokens() - engine.cacheTokens());
        }
        int slots = engine == null ? target.entry().slots() : engine.slots();
        int queued = Math.max(0, load.requests() + 1 - slots);
        return excess + (long) (queued * QUEUED_REQUEST_MILLIS * EngineSpeeds.TOKENS_PER_MS);
    }
}
