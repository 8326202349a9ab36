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
                new PoolTargetSelector.Selection(engine, backlogTokens, lateTokens, 0),
                12_000,
                elapsedMillis,
                800,
                remainingMillis);
    }

    /** Six slots of 0.2 s each: twelve queued requests take 0.4 s. */
    @Test
    void requestToApplicationIsRejectedOnlyIfItsResponseWouldBeTooLate() {
        LiveTarget application = new LiveTarget(TestTargets.application("a"), new TargetLoad(new ManualClock()));
        PoolTargetSelector.Selection free = new PoolTargetSelector.Selection(application, 0, 0, 0);
        PoolTargetSelector.Selection queued = new PoolTargetSelector.Selection(application, 0, 0, 12);
        for (int i = 0; i < ObservedServiceTime.MIN_RESPONSES; i++) {
            assertThat(CompletionEstimate.estimateApplication(queued, 1), equalTo(new Outcome.OnTime()));
            CompletionEstimate.recordResponse(queued, Duration.ofSeconds(5));
            CompletionEstimate.recordResponse(free, Duration.ofMillis(200));
        }
        assertThat(CompletionEstimate.estimateApplication(queued, 600), equalTo(new Outcome.OnTime()));
        assertThat(
                CompletionEstimate.estimateApplication(queued, 599),
                equalTo(new Outcome.Hopeless(Duration.ofMillis(400))));
        assertThat(CompletionEstimate.estimateApplication(free, 1), equalTo(new Outcome.OnTime()));
    }

    @Test
    void requestIsOnTimeUpToItsObjective() {
        assertThat(estimate(30_000, 600_000, 100, 5_000), equalTo(new Outcome.OnTime()));
        assertThat(estimate(30_000, 0, 101, 5_000), equalTo(new Outcome.Late()));
    }

    @Test
    void lateRequestIsRejectedOnlyIfItStartsAfterItsDeadline() {
        assertThat(estimate(60_000, 60_000, 0, 2_200), equalTo(new Outcome.Late()));
        assertThat(estimate(60_000, 60_000, 0, 2_199), equalTo(new Outcome.Hopeless(Duration.ofSeconds(1))));
    }
}
