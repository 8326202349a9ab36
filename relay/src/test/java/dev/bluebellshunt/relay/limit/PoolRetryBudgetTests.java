package dev.bluebellshunt.relay.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.bluebellshunt.core.testing.ManualClock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.junit.jupiter.api.Test;

class PoolRetryBudgetTests {

    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final double PER_REQUEST = 0.2;
    private static final double EXTRA = 8;

    private final ManualClock clock = new ManualClock();

    /** In any window, the bound is a fraction of its requests plus the fixed number of retries. */
    @Test
    void retriesStayWithinTheBudgetInEveryWindow() {
        PoolRetryBudget budget = new PoolRetryBudget(clock, PER_REQUEST, WINDOW, EXTRA);
        Random random = new Random(11);
        Deque<Long> requests = new ArrayDeque<>();
        Deque<Long> retries = new ArrayDeque<>();
        for (int i = 0; i < 20_000; i++) {
            clock.advance(Duration.ofMillis(random.nextInt(40)));
            if (random.nextInt(3) > 0) {
                budget.recordRequest();
                requests.add(clock.nanos());
            }
            if (budget.tryAcquireRetry()) {
                retries.add(clock.nanos());
            }
            removeExpired(requests);
            removeExpired(retries);
            assertThat((double) retries.size(), lessThanOrEqualTo(PER_REQUEST * requests.size() + 2 * EXTRA + 1));
        }
        assertThat(retries.size(), greaterThan(0));
    }

    private void removeExpired(Deque<Long> times) {
        while (!times.isEmpty() && times.peek() <= clock.nanos() - WINDOW.toNanos()) {
            times.remove();
        }
    }

    @Test
    void unusedRetriesDoNotAccumulate() {
        PoolRetryBudget budget = new PoolRetryBudget(clock, PER_REQUEST, WINDOW, EXTRA);
        for (int i = 0; i < 1_000; i++) {
            budget.recordRequest();
        }
        clock.advance(WINDOW.multipliedBy(100));
        int taken = 0;
        while (budget.tryAcquireRetry()) {
            taken++;
        }
        assertThat(taken, equalTo((int) EXTRA));
    }
}
