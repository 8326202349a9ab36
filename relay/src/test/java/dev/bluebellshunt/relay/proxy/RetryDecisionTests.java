package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.relay.model.RelayRoute;
import dev.bluebellshunt.relay.model.RouteKind;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against requests that run more often than their route permits, or give up while another target could run them. */
class RetryDecisionTests {

    private final SendHistory history = new SendHistory();
    private boolean suspect;

    private RetryDecision decision(RouteKind kind, boolean resumable) {
        RelayRoute route = new RelayRoute(
                "r",
                "h",
                "/",
                kind,
                Duration.ofSeconds(10),
                Duration.ofMillis(800),
                0,
                2,
                true,
                resumable,
                List.of(new RelayRoute.PoolShare("p", 1)));
        return new RetryDecision(route, history, () -> suspect);
    }

    @Test
    void requestThatMayHaveRunIsRepeatedOnlyIfRouteAndPromptAllow() {
        history.recordPossiblyExecuted();
        assertThat(decision(RouteKind.IDEMPOTENT, false).mayRetry(), equalTo(true));
        assertThat(decision(RouteKind.STREAM, true).mayRetry(), equalTo(true));
        assertThat(decision(RouteKind.STREAM, false).mayRetry(), equalTo(false));
        suspect = true;
        assertThat(decision(RouteKind.IDEMPOTENT, false).mayRetry(), equalTo(false));
        suspect = false;
        history.recordPossiblyExecuted();
        assertThat(decision(RouteKind.IDEMPOTENT, false).mayRetry(), equalTo(false));
    }

    @Test
    void rejectionsAreRetriedThreeTimesOnAnyRoute() {
        history.recordRejected();
        history.recordRejected();
        assertThat(decision(RouteKind.STREAM, false).mayRetry(), equalTo(true));
        history.recordRejected();
        assertThat(decision(RouteKind.STREAM, false).mayRetry(), equalTo(false));
    }

    @Test
    void onlyUnhealthyTargetIsAbandonedAfterHalfOfTheObjective() {
        RetryDecision decision = decision(RouteKind.IDEMPOTENT, false);
        assertThat(decision.mayAbandon(false, Duration.ofMillis(401)), equalTo(true));
        assertThat(decision.mayAbandon(false, Duration.ofMillis(400)), equalTo(false));
        assertThat(decision.mayAbandon(true, Duration.ofMillis(401)), equalTo(false));
        history.recordPossiblyExecuted();
        assertThat(decision.mayAbandon(false, Duration.ofMillis(401)), equalTo(false));
    }
}
