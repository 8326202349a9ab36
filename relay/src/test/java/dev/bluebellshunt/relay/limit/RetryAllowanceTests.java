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

class RetryAllowanceTests {

    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final double PER_REQUEST = 0.2;
    private static final double EXTRA = 8;

    private final ManualClock clock = new ManualClock();

    /** The bound that the operators set is a fraction of the requests and the extra, in any window. */
    @Test
    void noWindowHoldsMoreRetriesThanRequestsEarnAndTwiceTheExtra() {
        RetryAllowance allowance = new RetryAllowance(clock, PER_REQUEST, WINDOW, EXTRA);
        Random random = new Random(11);
        Deque<Long> requests = new ArrayDeque<>();
        Deque<Long> retries = new ArrayDeque<>();
        for (int i = 0; i < 20_000; i++) {
            clock.advance(Duration.ofMillis(random.nextInt(40)));
            if (random.nextInt(3) > 0) {
                allowance.requested();
                requests.add(clock.nanos());
            }
            if (allowance.tryRetry()) {
                retries.add(clock.nanos());
            }
            forgetBefore(requests);
            forgetBefore(retries);
            assertThat((double) retries.size(), lessThanOrEqualTo(PER_REQUEST * requests.size() + 2 * EXTRA + 1));
        }
        assertThat(retries.size(), greaterThan(0));
    }

    private void forgetBefore(Deque<Long> times) {
        while (!times.isEmpty() && times.peek() <= clock.nanos() - WINDOW.toNanos()) {
            times.remove();
        }
    }

    @Test
    void unusedRetriesAreNotSavedUp() {
        RetryAllowance allowance = new RetryAllowance(clock, PER_REQUEST, WINDOW, EXTRA);
        for (int i = 0; i < 1_000; i++) {
            allowance.requested();
        }
        clock.advance(WINDOW.multipliedBy(100));
        int taken = 0;
        while (allowance.tryRetry()) {
            taken++;
        }
        assertThat(taken, equalTo((int) EXTRA));
    }
}
