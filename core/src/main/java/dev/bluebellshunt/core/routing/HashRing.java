package dev.bluebellshunt.core.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.core.target.TargetView;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** A consistent-hash ring over targets. Immutable. */
public final class HashRing {

    /** Number of points per target on the ring. */
    static final int VIRTUAL_NODES_PER_TARGET = 64;

    private final List<TargetView> targets;
    private final long[] points;
    private final int[] owners;
    private final Map<String, TargetView> byName;

    /**
     * Builds a ring.
     *
     * @param targets the targets on it
     */
    public HashRing(List<TargetView> targets) {
        this.targets =
                targets.stream().sorted(Comparator.comparing(TargetView::name)).toList();
        this.byName = this.targets.stream().collect(Collectors.toUnmodifiableMap(TargetView::name, view -> view));
        int size = targets.size() * VIRTUAL_NODES_PER_TARGET;
        Point[] sorted = new Point[size];
        for (int i = 0; i < size; i++) {
            int owner = i / VIRTUAL_NODES_PER_TARGET;
            sorted[i] = new Point(pointHash(this.targets.get(owner).name(), i % VIRTUAL_NODES_PER_TARGET), owner);
        }
        Arrays.sort(sorted, Comparator.comparingLong(Point::hash).thenComparingInt(Point::owner));
        this.points = new long[size];
        this.owners = new int[size];
        for (int i = 0; i < size; i++) {
            points[i] = sorted[i].hash();
            owners[i] = sorted[i].owner();
        }
    }

    private static long pointHash(String name, int replica) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(name)
                .putInt(replica)
                .getAsLong();
    }

    /**
     * Returns the targets on the ring.
     *
     * @return the targets ordered by name
     */
    public List<TargetView> targets() {
        return targets;
    }

    /**
     * Finds the first position at or after a hash.
     *
     * @param hash the hash
     * @return a position for {@link #ownerAt}
     */
    int position(long hash) {
        int found = Arrays.binarySearch(points, hash);
        return found >= 0 ? found : -found - 1;
    }

    /**
     * Returns the target at a position, which wraps around.
     *
     * @param position the position
     * @return the target
     */
    TargetView ownerAt(int position) {
        return targets.get(owners[Math.floorMod(position, points.length)]);
    }

    /** Finds a target by name; returns null if it is not on the ring. */
    @Nullable
    TargetView find(String name) {
        return byName.get(name);
    }

    int size() {
        return points.length;
    }

    private record Point(long hash, int owner) {}
}
