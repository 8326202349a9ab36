package dev.bluebellshunt.lab.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import dev.bluebellshunt.lab.soak.PromiseChecks.Rule;
import dev.bluebellshunt.platform.standin.TargetRecord;
import java.util.List;
import org.junit.jupiter.api.Test;

class OrderChecksTests {

    private static TargetRecord.Entry order(long millis, String target, String holder, long token, long version) {
        return new TargetRecord.Entry(
                millis,
                TargetRecord.Event.ORDERED,
                "-",
                Long.toString(token),
                holder,
                Long.toString(version),
                0,
                "i-" + target + "-1",
                0);
    }

    private static List<Rule> check(List<OrderChecks.Delay> delays, TargetRecord.Entry... orders) {
        return OrderChecks.check(List.of(orders), delays).stream()
                .map(PromiseChecks.Violation::rule)
                .toList();
    }

    @Test
    void successorAfterMinimumTimeIsPermitted() {
        assertThat(check(List.of(), order(0, "a-0", "vm-0", 5, 2), order(3_000, "a-0", "vm-1", 6, 3)), empty());
    }

    /** Guards against a check that misses a second issuer at another engine. */
    @Test
    void ordersOfTwoVmsWithoutMinimumTimeBreakRule() {
        assertThat(
                check(List.of(), order(0, "a-0", "vm-0", 5, 2), order(2_000, "a-1", "vm-1", 6, 2)),
                contains(Rule.ISSUER));
    }

    /** Guards against a check that misses a lower token, or weights that go back, at an engine that checks no fence. */
    @Test
    void lowerTokenOrVersionAtSameEngineBreaksRule() {
        assertThat(
                check(List.of(), order(0, "a-0", "vm-0", 5, 2), order(10, "a-0", "vm-0", 4, 3)), contains(Rule.FENCE));
        assertThat(
                check(List.of(), order(0, "a-0", "vm-0", 5, 3), order(10, "a-0", "vm-0", 5, 2)), contains(Rule.FENCE));
    }

    /** Guards against a report of an order that a fault of the soak has held. */
    @Test
    void orderThatWasHeldIsLeftOut() {
        for (String name : List.of("to-a-1", "a-1", "vm-1")) {
            assertThat(
                    check(
                            List.of(new OrderChecks.Delay(name, 1_000, 1_900)),
                            order(0, "a-0", "vm-0", 5, 2),
                            order(2_000, "a-1", "vm-1", 6, 2)),
                    empty());
        }
    }
}
