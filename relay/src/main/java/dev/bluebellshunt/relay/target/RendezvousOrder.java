package dev.bluebellshunt.relay.target;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Orders engines for the prompts with one key, by weighted rendezvous hashing: an engine is the first one for a share of
 * the keys in proportion to its speed. VMs that know the same speeds agree without communication, and a change of one
 * speed moves only keys to or from that engine.
 */
final class RendezvousOrder {

    private static final double UNIT = 0x1p-53;
    private static final int UNUSED_BITS = 11;

    private RendezvousOrder() {}

    private record Scored(LiveTarget target, double score, long hash) implements Comparable<Scored> {

        @Override
        public int compareTo(Scored other) {
            int byScore = Double.compare(score, other.score);
            return byScore == 0 ? Long.compare(hash, other.hash) : byScore;
        }
    }

    /** Returns the engine that comes first. The list must not be empty. */
    static LiveTarget first(List<LiveTarget> engines, String key) {
        return Collections.min(score(engines, key)).target();
    }

    /** Returns the engines in the order in which they are preferred. */
    static List<LiveTarget> rank(List<LiveTarget> engines, String key) {
        List<Scored> scored = score(engines, key);
        Collections.sort(scored);
        return scored.stream().map(Scored::target).toList();
    }

    private static List<Scored> score(List<LiveTarget> engines, String key) {
        List<Scored> scored = new ArrayList<>(engines.size());
        boolean alike = true;
        for (LiveTarget engine : engines) {
            alike &= engine.load().speed().factor() == 1;
        }
        for (LiveTarget engine : engines) {
            long hash = Hashing.komihash5_0()
                    .hashStream()
                    .putString(key)
                    .putString(engine.entry().id())
                    .getAsLong();
            // At equal speeds the order is that of the hashes alone, which the logarithm would not change.
            double score = alike ? 0 : exponential(hash) / engine.load().speed().factor();
            scored.add(new Scored(engine, score, hash));
        }
        return scored;
    }

    /** Returns an exponentially distributed value that rises with the hash. */
    private static double exponential(long hash) {
        double uniform = (((hash ^ Long.MIN_VALUE) >>> UNUSED_BITS) + 0.5) * UNIT;
        return -Math.log1p(-uniform);
    }
}
