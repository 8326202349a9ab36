package dev.bluebellshunt.relay.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.bluebellshunt.relay.peer.OfferedUnits;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class AdmissionPolicyTests {

    /** Guards against requests that are rejected although the window has units for all. */
    @Test
    void allAreAdmittedWhileTheWindowIsNotShort() {
        OfferedUnits offered = new OfferedUnits(Map.of(0, 40.0, 5, 60.0), 1);
        assertThat(AdmissionPolicy.admittedShare(0, 100, offered), equalTo(1.0));
        assertThat(AdmissionPolicy.admittedShare(5, 100, offered), equalTo(1.0));
    }

    /** Guards against a division that inverts the order of urgency, starves an urgency, or gives out more than there is. */
    @Test
    void moreUrgentRequestsAreAdmittedMoreAndNoneStarve() {
        Random random = new Random(1);
        for (int i = 0; i < 2_000; i++) {
            OfferedUnits offered = new OfferedUnits(
                    Map.of(0, 100 * random.nextDouble(), 2, 100 * random.nextDouble(), 5, 100 * random.nextDouble()),
                    1);
            double total = offered.perSecond().values().stream().reduce(0.0, Double::sum);
            double available = total * random.nextDouble();
            double previous = 1;
            double admitted = 0;
            for (int urgency : new int[] {0, 2, 5}) {
                double share = AdmissionPolicy.admittedShare(urgency, available, offered);
                assertThat(share, lessThanOrEqualTo(previous + 1e-9));
                assertThat(share, greaterThanOrEqualTo(0.25 * available / total));
                admitted += share * offered.perSecond().getOrDefault(urgency, 0.0);
                previous = share;
            }
            assertThat(admitted, closeTo(available, 1e-6));
        }
    }

    /** Guards against small requests that keep a large one out: what flows in steadily leaves room for it. */
    @Test
    void roomForTheLargestRequestStaysFreeWhenTheWindowIsInSteadyUse() {
        double limit = 900;
        double windowSeconds = 8;
        double largest = 150;
        OfferedUnits offered = new OfferedUnits(Map.of(0, 1_000.0), largest);
        double admitted = AdmissionPolicy.unitsPerSecond(largest, limit, windowSeconds, offered, 1) * windowSeconds;
        double free = limit - admitted;
        assertThat(free, greaterThanOrEqualTo(largest));
    }
}
