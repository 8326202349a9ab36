package dev.bluebellshunt.relay.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.relay.target.CompletionEstimate.Outcome;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against requests that are queued as late, or rejected, although the engine can still serve them in time. */
class CompletionEstimateTests {

    private static Outcome estimate(long backlogTokens, long lateTokens, long elapsedMillis, long remainingMillis) {
        LiveTarget engine = new LiveTarget(TestTargets.engine("e", 1), new TargetLoad(new ManualClock()));
        return CompletionEstimate.estimate(
                new PoolTargetSelector.Selection(engine, backlogTokens, lateTokens),
                12_000,
                elapsedMillis,
                800,
                remainingMillis);
    }

    @Test
    void requestIsOnTimeUpToItsObjective() {
        assertThat(estimate(30_000, 600_000, 100, 5_000), equalTo(new Outcome.OnTime()));
        assertThat(estimate(30_000, 0, 101, 5_000), equalTo(new Outcome.Late()));
    }

    @Test
    void lateRequestIsRejectedOnlyIfItStartsAfterItsDeadline() {
        assertThat(estimate(60_000, 60_000, 0, 2_200), equalTo(new Outcome.Late()));
        assertThat(estimate(60_000, 60_000, 0, 2_199), equalTo(new Outcome.MissesDeadline(Duration.ofSeconds(1))));
    }
}
