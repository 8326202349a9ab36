package dev.bluebellshunt.relay.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against long prompts that delay short ones, or the reverse, and against slow engines that get as much as fast ones. */
class EngineFleetTests {

    private static final int ENGINES = 20;
    private static final int VMS = 12;

    /** Returns the results of the long and of the short prompts. */
    private static List<EngineFleetSimulation.Result> run(
            EngineFleetSimulation.Kind longKind, EngineFleetSimulation.Kind shortKind, boolean mixed, boolean learns) {
        double[] speeds = new double[ENGINES];
        Arrays.setAll(speeds, i -> !mixed || i % 3 == 2 ? 1 : i % 3 == 0 ? 1.7 : 0.7);
        EngineFleetSimulation fleet = new EngineFleetSimulation(5, VMS, speeds, learns, List.of(longKind, shortKind));
        return List.copyOf(fleet.run(30, 8, seconds -> 0.75 * (0.75 - 0.25 * Math.cos(2 * Math.PI * seconds / 20)))
                .values());
    }

    private static EngineFleetSimulation.Kind longKind(int priority, long objectiveMillis) {
        return new EngineFleetSimulation.Kind("long", 5_400, 6_600, 60, priority, objectiveMillis, 12_000, 0.6);
    }

    private static EngineFleetSimulation.Kind shortKind(int priority, long objectiveMillis) {
        return new EngineFleetSimulation.Kind("short", 570, 1_830, 120, priority, objectiveMillis, 3_000, 0.4);
    }

    @Test
    void bothKindsMeetTheirObjectivesWhicheverIsMoreUrgent() {
        for (boolean longFirst : new boolean[] {true, false}) {
            EngineFleetSimulation.Kind longKind = longFirst ? longKind(0, 800) : longKind(1, 1_000);
            EngineFleetSimulation.Kind shortKind = longFirst ? shortKind(2, 2_000) : shortKind(0, 500);
            List<EngineFleetSimulation.Result> results = run(longKind, shortKind, false, true);
            assertThat(results.getFirst().within(longKind.objectiveMillis()), greaterThan(0.97));
            assertThat(results.getLast().within(shortKind.objectiveMillis()), greaterThan(0.99));
        }
    }

    @Test
    void learnedSpeedsShortenTheTimeOnEnginesOfDifferentSpeeds() {
        EngineFleetSimulation.Kind longKind = longKind(0, 800);
        EngineFleetSimulation.Kind shortKind = shortKind(2, 2_000);
        List<EngineFleetSimulation.Result> without = run(longKind, shortKind, true, false);
        List<EngineFleetSimulation.Result> with = run(longKind, shortKind, true, true);
        assertThat(with.getFirst().quantile(0.99), lessThan(without.getFirst().quantile(0.99)));
        assertThat(with.getLast().quantile(0.99), lessThan(without.getLast().quantile(0.99)));
    }
}
