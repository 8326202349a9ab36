package dev.bluebellshunt.relay.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.bluebellshunt.core.testing.ManualClock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.junit.jupiter.api.Test;

class WorkspaceQuotaTests {

    private static final Duration WINDOW = Duration.ofSeconds(8);

    private final ManualClock clock = new ManualClock();
    private final WorkspaceQuota quota = new WorkspaceQuota(clock, WINDOW);

    @Test
    void noWindowOfAnyStartHoldsMoreThanTheLimitAndOneLargeRequest() {
        quota.resize(100_000);
        Random random = new Random(7);
        Deque<long[]> admitted = new ArrayDeque<>();
        double sum = 0;
        double largest = 0;
        for (int i = 0; i < 20_000; i++) {
            clock.advance(Duration.ofMillis(random.nextInt(20)));
            long cost = 500L + random.nextInt(12_000);
            if (quota.admit(cost, 0).isZero()) {
                admitted.add(new long[] {clock.nanos(), cost});
                sum += cost;
            }
            while (!admitted.isEmpty() && admitted.peek()[0] <= clock.nanos() - WINDOW.toNanos()) {
                sum -= admitted.poll()[1];
            }
            largest = Math.max(largest, sum);
        }
        assertThat(largest, lessThanOrEqualTo(100_000.0));
        assertThat(largest, greaterThan(80_000.0));
    }

    @Test
    void restartDoesNotSpendTheLimitAgain() {
        quota.resize(100_000);
        assertThat(quota.admit(1_000, 0).isZero(), equalTo(false));
        clock.advance(Duration.ofSeconds(4));
        double spent = 0;
        while (quota.admit(1_000, 0).isZero()) {
            spent += 1_000;
        }
        assertThat(spent, closeTo(50_000, 5_000));
    }

    @Test
    void refusalNamesTheTimeAfterWhichTheRequestIsAdmitted() {
        quota.resize(10_000);
        clock.advance(WINDOW.multipliedBy(2));
        assertThat(quota.admit(9_000, 0).isZero(), equalTo(true));
        Duration wait = quota.admit(5_000, 0);
        assertThat(wait.compareTo(WINDOW), lessThanOrEqualTo(0));
        clock.advance(wait.plus(WINDOW.dividedBy(32)));
        assertThat(quota.admit(5_000, 0).isZero(), equalTo(true));
    }

    @Test
    void requestLargerThanThePartIsAdmittedOnceMostOfThePartIsFree() {
        quota.resize(10_000);
        clock.advance(WINDOW.multipliedBy(2));
        assertThat(quota.admit(60_000, 0).isZero(), equalTo(true));
        assertThat(quota.admit(1, 0).isZero(), equalTo(false));
    }

    @Test
    void refundMakesRoomAgain() {
        quota.resize(10_000);
        clock.advance(WINDOW.multipliedBy(2));
        assertThat(quota.admit(9_000, 0).isZero(), equalTo(true));
        quota.refund(9_000);
        assertThat(quota.admit(9_000, 0).isZero(), equalTo(true));
    }

    @Test
    void whatOthersLeaveMayBeUsedBeyondTheOwnPart() {
        quota.resize(10_000);
        clock.advance(WINDOW.multipliedBy(2));
        double spent = 0;
        while (quota.admit(1_000, 30_000).isZero()) {
            spent += 1_000;
        }
        assertThat(spent, equalTo(30_000.0));
    }
}
