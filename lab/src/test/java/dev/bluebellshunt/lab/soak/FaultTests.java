package dev.bluebellshunt.lab.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class FaultTests {

    private static final Fault.Victims VICTIMS = new Fault.Victims(
            List.of("vm-0", "vm-1"), List.of("target-0", "target-1"), List.of("link-0"), List.of("pool-0"));

    private static List<Fault> plan(long seed, Duration traffic) {
        return Fault.plan(seed, traffic, VICTIMS);
    }

    @Test
    void sameSeedHasSamePlan() {
        assertThat(plan(5, Duration.ofMinutes(1)), equalTo(plan(5, Duration.ofMinutes(1))));
        assertThat(plan(5, Duration.ofMinutes(1)), not(equalTo(plan(7, Duration.ofMinutes(1)))));
    }

    @Test
    void longPlanHasAllKindsDuringTrafficOnly() {
        List<Fault> plan = plan(5, Duration.ofMinutes(10));
        Set<Fault.Kind> kinds = plan.stream().map(Fault::kind).collect(Collectors.toSet());
        assertThat(kinds, equalTo(EnumSet.allOf(Fault.Kind.class)));
        assertThat(plan.getLast().atMillis(), lessThan(Duration.ofMinutes(10).toMillis()));
    }

    @Test
    void everyThirdSeedHasPlannedWorkOnly() {
        Set<Fault.Kind> kinds =
                plan(6, Duration.ofMinutes(10)).stream().map(Fault::kind).collect(Collectors.toSet());
        assertThat(
                kinds,
                equalTo(EnumSet.of(
                        Fault.Kind.VM_TERM,
                        Fault.Kind.VM_HANGUP,
                        Fault.Kind.TARGET_TERM,
                        Fault.Kind.NAME_WEIGHTS,
                        Fault.Kind.CHANGE_CONFIGURATION,
                        Fault.Kind.RELEASE)));
    }
}
