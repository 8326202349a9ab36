package dev.bluebellshunt.relay.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.core.testing.ManualClock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against prompts that lose their home engine, and with it their cached parts, without need. */
class RendezvousOrderTests {

    private static final int KEYS = 4_000;

    private final List<LiveTarget> engines = new ArrayList<>();

    RendezvousOrderTests() {
        for (int i = 0; i < 10; i++) {
            engines.add(new LiveTarget(TestTargets.engine("e" + i, 1), new TargetLoad(new ManualClock())));
        }
    }

    private List<LiveTarget> homes() {
        List<LiveTarget> homes = new ArrayList<>();
        for (int i = 0; i < KEYS; i++) {
            homes.add(RendezvousOrder.first(engines, "prompt-" + i));
        }
        return homes;
    }

    /** The order of older versions, which serve the same engines during a roll-out of this one. */
    private List<LiveTarget> unweighted(String key) {
        return engines.stream()
                .sorted(Comparator.comparingLong((LiveTarget engine) -> Hashing.komihash5_0()
                        .hashStream()
                        .putString(key)
                        .putString(engine.entry().id())
                        .getAsLong()))
                .toList();
    }

    @Test
    void equalSpeedsKeepTheUnweightedOrder() {
        for (double logRatio : new double[] {0, 0.2, 1}) {
            engines.forEach(engine -> engine.load().speed().update(logRatio, 8));
            for (int i = 0; i < 200; i++) {
                assertThat(RendezvousOrder.rank(engines, "p" + i), equalTo(unweighted("p" + i)));
                assertThat(
                        RendezvousOrder.first(engines, "p" + i),
                        equalTo(unweighted("p" + i).getFirst()));
            }
        }
    }

    @Test
    void smallDifferencesMoveNoHome() {
        List<LiveTarget> before = homes();
        for (int i = 0; i < engines.size(); i++) {
            engines.get(i).load().speed().update(i % 2 == 0 ? 0.2 : -0.2, 8);
        }
        assertThat(homes(), equalTo(before));
    }

    @Test
    void changedSpeedMovesHomesOnlyToOrFromThatEngineInProportion() {
        List<LiveTarget> before = homes();
        engines.get(4).load().speed().update(Math.log(2), 8);
        double factor = engines.get(4).load().speed().factor();
        List<LiveTarget> after = homes();
        int share = 0;
        for (int i = 0; i < KEYS; i++) {
            assertThat(after.get(i), anyOf(is(before.get(i)), is(engines.get(4))));
            share += after.get(i).equals(engines.get(4)) ? 1 : 0;
        }
        assertThat(share / (double) KEYS, closeTo(factor / (9 + factor), 0.02));
    }
}
