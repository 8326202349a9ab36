package dev.bluebellshunt.relay.target;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.relay.model.PoolSpec;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.peer.PeerUses;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Chooses a target of a pool.
 *
 * <p>Requests that share a prompt prefix have one home engine, which rendezvous hashing names, so that all
 * VMs send them there without a message. A request leaves its home only where it would start clearly
 * sooner elsewhere, and then for the next engine of the same order. Plain requests go to the target with
 * the least under way.
 */
public final class TargetChooser {

    /**
     * Prompt tokens that the home may have waiting beyond another engine's: about a quarter of a second of
     * reading, short against the objectives, and more than one long prompt.
     */
    static final long HOME_TOKENS = 16_000;

    /** Added for each further engine in the order of a prefix, so that what leaves home meets again. */
    static final long RANK_TOKENS = 500;

    /** What a request beyond an engine's slots counts: it waits until another has ended. */
    static final long SLOT_TOKENS = 4_000;

    /** A VM's own requests are known at once, those of its peers a report later; so they count double. */
    static final int OWN_WEIGHT = 2;

    private final RandomGenerator random;
    private final PeerUses peers;

    /**
     * Creates a chooser.
     *
     * @param random breaks ties
     * @param peers what the other VMs have under way
     */
    public TargetChooser(RandomGenerator random, PeerUses peers) {
        this.random = random;
        this.peers = peers;
    }

    /**
     * What a request asks of its target.
     *
     * @param tried targets that it has been sent to
     * @param affinity what requests with the same home share, or null for plain requests
     * @param model the model that it asks for, or null
     * @param minWeights the oldest version of the model's weights that it may begin on
     * @param avoid targets that are better left alone
     * @param tokens its size
     * @param engine what the pool's engines can do, null for plain services
     */
    public record Request(
            Set<String> tried,
            @Nullable String affinity,
            @Nullable String model,
            long minWeights,
            Set<TargetEntry.Incarnation> avoid,
            long tokens,
            PoolSpec.@Nullable EngineSpec engine) {

        private boolean allows(LiveTarget target) {
            return !target.entry().leaving()
                    && !tried.contains(target.entry().id())
                    && (model == null || minWeights == 0 || target.weights(model) >= minWeights);
        }
    }

    /**
     * A chosen target.
     *
     * @param target the target
     * @param backlogTokens prompt tokens that it has to read before those of a request that can be on time
     * @param lateTokens prompt tokens that it has to read besides before those of one that can't
     */
    public record Choice(LiveTarget target, long backlogTokens, long lateTokens) {}

    /**
     * Chooses a target.
     *
     * @param targets the pool's targets
     * @param request what the request asks for
     * @return the target, or empty where none takes requests
     */
    public Optional<Choice> choose(List<LiveTarget> targets, Request request) {
        List<LiveTarget> allowed = new ArrayList<>(targets.size());
        for (LiveTarget target : targets) {
            if (request.allows(target)) {
                allowed.add(target);
            }
        }
        List<LiveTarget> candidates = preferred(allowed, target -> target.load().isUsable());
        candidates = preferred(
                candidates, target -> !request.avoid().contains(target.entry().incarnation()));
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        String affinity = request.affinity();
        return Optional.of(affinity == null ? leastLoaded(candidates) : nearest(candidates, affinity, request));
    }

    /** The targets with a property, or all where none has it. */
    private static List<LiveTarget> preferred(List<LiveTarget> targets, Predicate<LiveTarget> property) {
        List<LiveTarget> good = targets.stream().filter(property).toList();
        return good.isEmpty() ? targets : good;
    }

    /**
     * The target that gets the requests of a prefix while it is not overloaded.
     *
     * @param targets the pool's targets
     * @param affinity what the requests share
     * @return the target, or empty where none takes requests
     */
    public static Optional<LiveTarget> home(List<LiveTarget> targets, String affinity) {
        return targets.stream()
                .filter(target -> !target.entry().leaving() && target.load().isUsable())
                .min(Comparator.comparingLong(target -> score(affinity, target)));
    }

    private Choice leastLoaded(List<LiveTarget> candidates) {
        int start = random.nextInt(candidates.size());
        LiveTarget best = candidates.get(start);
        int least = requests(best);
        for (int i = 1; i < candidates.size(); i++) {
            LiveTarget next = candidates.get((start + i) % candidates.size());
            int under = requests(next);
            if (under < least) {
                best = next;
                least = under;
            }
        }
        return new Choice(best, 0, 0);
    }

    private int requests(LiveTarget target) {
        return OWN_WEIGHT * target.load().use().requests()
                + peers.at(target.entry().id()).requests();
    }

    private Choice nearest(List<LiveTarget> candidates, String affinity, Request request) {
        List<LiveTarget> order = candidates.stream()
                .sorted(Comparator.comparingLong(target -> score(affinity, target)))
                .toList();
        LiveTarget best = order.getFirst();
        long least = Long.MAX_VALUE;
        for (int rank = 0; rank < order.size(); rank++) {
            LiveTarget target = order.get(rank);
            long cost = backlog(target, request) + (rank == 0 ? 0 : HOME_TOKENS + rank * RANK_TOKENS);
            if (cost < least) {
                best = target;
                least = cost;
            }
        }
        long late = best.load().use().plus(peers.at(best.entry().id())).lateTokens();
        return new Choice(best, backlog(best, request), late);
    }

    /** Prompt tokens that wait at an engine, and what waits for its memory and its slots. */
    private long backlog(LiveTarget target, Request request) {
        TargetUse use = target.load().use().plus(peers.at(target.entry().id()));
        long backlog = use.waitingTokens();
        PoolSpec.EngineSpec engine = request.engine();
        if (engine != null && engine.cacheTokens() > 0) {
            backlog += Math.max(0, use.tokens() + request.tokens() - engine.cacheTokens());
        }
        int slots = engine == null ? target.entry().slots() : engine.slots();
        return backlog + SLOT_TOKENS * Math.max(0, use.requests() + 1 - slots);
    }

    private static long score(String affinity, LiveTarget target) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(affinity)
                .putString(target.entry().id())
                .getAsLong();
    }
}
