package dev.bluebellshunt.lab.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import dev.bluebellshunt.lab.soak.PromiseChecks.Rule;
import dev.bluebellshunt.platform.standin.Operator;
import dev.bluebellshunt.platform.standin.TargetRecord;
import dev.bluebellshunt.platform.standin.TargetRecord.Event;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a soak that overlooks a broken rule of a roll-out, or finds one that holds. */
class ReleaseChecksTests {

    private static final long ORDER_MILLIS = 10_000;
    private static final String OLD = "i-notice-app-0-1";
    private static final String NEW = "i-notice-app-v2-0-1";

    private final List<TargetRecord.Entry> entries = new ArrayList<>();

    private void add(long millis, Event event, String target, int count) {
        for (int i = 0; i < count; i++) {
            entries.add(new TargetRecord.Entry(millis, event, "id", "run", "ada", "/once/", 1, target, 1));
        }
    }

    private static Operator.Release release(boolean bad, String state, long endMillis) {
        return new Operator.Release(
                Operator.APPLICATION_POOL, "v2", bad, ORDER_MILLIS, ORDER_MILLIS, 12_000, state, endMillis);
    }

    private List<Rule> broken(Operator.Release release) {
        return ReleaseChecks.check(entries, List.of(release), true).stream()
                .map(PromiseChecks.Violation::rule)
                .toList();
    }

    @Test
    void permitsTheShareAndTheSlack() {
        add(ORDER_MILLIS + 100, Event.ARRIVED, OLD, 900);
        add(ORDER_MILLIS + 100, Event.ARRIVED, NEW, 100);
        assertThat(broken(release(true, "rolled_back", 20_000)), empty());
    }

    @Test
    void findsMoreRequestsThanTheBound() {
        add(ORDER_MILLIS + 100, Event.ARRIVED, OLD, 100);
        add(ORDER_MILLIS + 100, Event.ARRIVED, NEW, 80);
        assertThat(broken(release(true, "rolled_back", 20_000)), contains(Rule.EXPOSURE));
    }

    @Test
    void findsRequestsLongAfterTheFiftiethBadResponse() {
        add(ORDER_MILLIS + 100, Event.ARRIVED, OLD, 900);
        add(ORDER_MILLIS + 200, Event.FAILED, NEW, 50);
        add(ORDER_MILLIS + 6_300, Event.ARRIVED, NEW, 1);
        assertThat(broken(release(true, "rolled_back", 20_000)), contains(Rule.EXPOSURE));
    }

    @Test
    void findsARunBeforeTheOrder() {
        add(ORDER_MILLIS - 1, Event.BEGAN, NEW, 1);
        assertThat(broken(release(false, "completed", 20_000)), contains(Rule.ROUTE));
    }

    @Test
    void findsAReleaseThatEndsOtherwiseOrLate() {
        assertThat(broken(release(true, "completed", 20_000)), contains(Rule.RELEASE));
        assertThat(broken(release(false, "rolled_back", 20_000)), contains(Rule.RELEASE));
        assertThat(broken(release(false, "running", 24_000)), contains(Rule.RELEASE));
        assertThat(broken(release(false, "completed", 22_001)), contains(Rule.RELEASE));
    }

    @Test
    void findsRequestsAfterTheRollBack() {
        add(21_500, Event.ARRIVED, NEW, 1);
        assertThat(broken(release(true, "rolled_back", 20_000)), contains(Rule.RELEASE));
    }
}
