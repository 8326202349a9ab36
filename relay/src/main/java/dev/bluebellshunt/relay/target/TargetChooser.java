package dev.bluebellshunt.relay.target;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.relay.model.TargetEntry;
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
 * <p>Requests that share a prompt prefix go to the target that rendezvous hashing names first, so that
 * all VMs send them to the same one without a message; a target that has clearly more under way than the
 * others passes them on to the next. Plain requests go to the target with the least under way.
 */
public final class TargetChooser {

    /** How far above the mean load a target may be and still get the requests of its prefixes. */
    static final double LOAD_BOUND = 1.5;

    /** Requests above the mean that don't count as overload, so that light load keeps its affinity. */
    static final int FREE_REQUESTS = 4;

    private final RandomGenerator random;

    /**
     * Creates a chooser.
     *
     * @param random breaks ties
     */
    public TargetChooser(RandomGenerator random) {
        this.random = random;
    }

    /**
     * What a request asks of its target.
     *
     * @param tried targets that it has been sent to
     * @param affinity what requests of the same target share, or null
     * @param model the model that it asks for, or null
     * @param minWeights the oldest version of the model's weights that it may begin on
     * @param avoid targets that are better left alone
     */
    public record Request(
            Set<String> tried,
            @Nullable String affinity,
            @Nullable String model,
            long minWeights,
            Set<TargetEntry.Incarnation> avoid) {

        private boolean allows(LiveTarget target) {
            return !target.entry().leaving()
                    && !tried.contains(target.entry().id())
                    && (model == null || minWeights == 0 || target.weights(model) >= minWeights);
        }
    }

    /**
     * Chooses a target.
     *
     * @param targets the pool's targets
     * @param request what the request asks for
     * @return the target, or empty where none takes requests
     */
    public Optional<LiveTarget> choose(List<LiveTarget> targets, Request request) {
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
        return Optional.of(affinity == null ? leastLoaded(candidates) : nearest(candidates, affinity));
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
                .min(Comparator.comparingLong(
                        target -> score(affinity, target.entry().id())));
    }

    private LiveTarget leastLoaded(List<LiveTarget> candidates) {
        int start = random.nextInt(candidates.size());
        LiveTarget best = candidates.get(start);
        for (int i = 1; i < candidates.size(); i++) {
            LiveTarget next = candidates.get((start + i) % candidates.size());
            if (next.load().open() < best.load().open()) {
                best = next;
            }
        }
        return best;
    }

    private LiveTarget nearest(List<LiveTarget> candidates, String affinity) {
        double total = 0;
        for (LiveTarget target : candidates) {
            total += target.load().open();
        }
        double bound = total / candidates.size() * LOAD_BOUND + FREE_REQUESTS;
        LiveTarget best = null;
        long bestScore = 0;
        for (LiveTarget target : candidates) {
            if (target.load().open() > bound) {
                continue;
            }
            long score = score(affinity, target.entry().id());
            if (best == null || score < bestScore) {
                best = target;
                bestScore = score;
            }
        }
        return best == null ? leastLoaded(candidates) : best;
    }

    private static long score(String affinity, String target) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(affinity)
                .putString(target)
                .getAsLong();
    }
}
