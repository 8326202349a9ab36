package dev.bluebellshunt.relay.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.relay.peer.SpeedSample;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against speeds that are wrong, jump at single responses, or outlive what they were observed of. */
class EngineSpeedsTests {

    private static final int ENGINES = 8;
    private static final long TOKENS = 6_000;

    private final ManualClock clock = new ManualClock();
    private final Random random = new Random(7);
    private final List<List<LiveTarget>> vms = List.of(newVm(), newVm(), newVm());
    private final double[] trueSpeeds = new double[ENGINES];

    EngineSpeedsTests() {
        java.util.Arrays.fill(trueSpeeds, 1);
    }

    private List<LiveTarget> newVm() {
        List<LiveTarget> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new LiveTarget(TestTargets.engine("e" + i, 1), new TargetLoad(clock)));
        }
        return engines;
    }

    /** Each VM gets four responses a second of each engine, whose times vary by a factor of up to two. */
    private void serve(int seconds, double loadFactor) {
        for (int i = 0; i < 4 * seconds; i++) {
            clock.advance(Duration.ofMillis(250));
            for (List<LiveTarget> vm : vms) {
                for (int engine = 0; engine < ENGINES; engine++) {
                    double noise = Math.pow(2, random.nextDouble() - 0.5);
                    double millis = TOKENS / EngineSpeeds.TOKENS_PER_MS / trueSpeeds[engine] * noise * loadFactor;
                    EngineSpeeds.record(vm.get(engine), TOKENS, 0, Duration.ofNanos((long) (millis * 1e6)));
                }
            }
            update();
        }
    }

    private void update() {
        for (int vm = 0; vm < vms.size(); vm++) {
            Map<String, SpeedSample> reported = new HashMap<>();
            for (int other = 0; other < vms.size(); other++) {
                for (LiveTarget engine : other == vm ? List.<LiveTarget>of() : vms.get(other)) {
                    reported.merge(
                            engine.entry().incarnation().name(),
                            engine.load().speed().reportedSample(),
                            SpeedSample::plus);
                }
            }
            EngineSpeeds.update(vms.get(vm), reported);
        }
    }

    private double factor(int vm, int engine) {
        return vms.get(vm).get(engine).load().speed().factor();
    }

    @Test
    void alikeEnginesKeepTheirSpeedAtAnyLoad() {
        for (double load : new double[] {1, 2.5, 0.6}) {
            serve(20, load);
            for (int engine = 0; engine < ENGINES; engine++) {
                assertThat(factor(0, engine), equalTo(1.0));
            }
        }
    }

    @Test
    void vmsLearnTheRatioOfSpeeds() {
        for (int i = 0; i < ENGINES; i++) {
            trueSpeeds[i] = i % 2 == 0 ? 0.7 : 1.7;
        }
        serve(5, 1);
        for (int vm = 0; vm < vms.size(); vm++) {
            assertThat(factor(vm, 1) / factor(vm, 0), closeTo(1.7 / 0.7, 0.45));
        }
    }

    @Test
    void engineThatIsSlowForFiveSecondsIsFollowed() {
        serve(5, 1);
        trueSpeeds[3] = 0.4;
        serve(3, 1);
        assertThat(factor(1, 3), lessThan(0.7));
        trueSpeeds[3] = 1;
        serve(6, 1);
        assertThat(factor(1, 3), equalTo(1.0));
    }

    @Test
    void singleSlowResponsesChangeNothing() {
        EngineSpeeds.record(vms.getFirst().getFirst(), TOKENS, 0, Duration.ofSeconds(20));
        update();
        assertThat(factor(0, 0), equalTo(1.0));
        serve(2, 1);
        EngineSpeeds.record(vms.getFirst().getFirst(), TOKENS, 0, Duration.ofSeconds(20));
        EngineSpeeds.record(vms.getFirst().getFirst(), TOKENS, 0, Duration.ofSeconds(20));
        update();
        assertThat(factor(0, 0), equalTo(1.0));
    }

    @Test
    void observationsAreForgotten() {
        trueSpeeds[0] = 0.3;
        serve(5, 1);
        assertThat(factor(0, 0), lessThan(0.6));
        clock.advance(Duration.ofSeconds(30));
        update();
        assertThat(factor(0, 0), equalTo(1.0));
        assertThat(vms.getFirst().getFirst().load().speed().reportedSample(), equalTo(SpeedSample.NONE));
    }

    @Test
    void vmThatHearsFromNoOtherUsesItsOwnObservations() {
        trueSpeeds[0] = 0.3;
        serve(5, 1);
        EngineSpeeds.update(vms.getFirst(), Map.of());
        assertThat(factor(0, 0), lessThan(0.7));
        assertThat(vms.getFirst().getFirst().load().speed().sample().weight(), greaterThan(1.0));
    }
}
