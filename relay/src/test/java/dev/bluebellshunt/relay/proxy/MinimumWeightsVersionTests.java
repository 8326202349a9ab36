package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.relay.store.DesiredWeights;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against late requests starting with outdated weights because they wait longer in an engine's queue. */
class MinimumWeightsVersionTests {

    private static final Duration MAX_STALENESS = Duration.ofSeconds(5);
    private final DesiredWeights desired = new DesiredWeights(2, 0, new DesiredWeights(1, -1_000_000_000_000L, null));

    private long minimumVersion(Duration age, boolean late) {
        return MinimumWeightsVersion.compute(desired, age.toNanos(), MAX_STALENESS, late);
    }

    @Test
    void previousVersionIsAcceptedUntilMaxStaleness() {
        assertThat(minimumVersion(MAX_STALENESS.minusMillis(1), false), equalTo(1L));
        assertThat(minimumVersion(MAX_STALENESS, false), equalTo(2L));
    }

    @Test
    void lateRequestRequiresNewVersionEarlier() {
        Duration lateMaxStaleness = MAX_STALENESS.minus(MinimumWeightsVersion.LATE_QUEUE_TIME);
        assertThat(minimumVersion(lateMaxStaleness.minusMillis(1), true), equalTo(1L));
        assertThat(minimumVersion(lateMaxStaleness, true), equalTo(2L));
    }

    @Test
    void anyVersionIsAcceptedWithoutDesiredVersion() {
        assertThat(MinimumWeightsVersion.compute(null, 0, MAX_STALENESS, true), equalTo(0L));
    }
}
