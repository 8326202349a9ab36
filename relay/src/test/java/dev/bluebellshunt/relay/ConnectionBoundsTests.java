package dev.bluebellshunt.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

class ConnectionBoundsTests {

    /** Guards against limits on the smallest VM that a single legal request exceeds, or that leave nothing for targets. */
    @Test
    void smallestVmServesLegalRequests() {
        ConnectionBounds bounds = ConnectionBounds.of(258, 2_212, 96L << 20);
        int connections = bounds.callers().maxConnections()
                + bounds.internal().maxConnections()
                + bounds.readiness().maxConnections();
        assertThat(connections, lessThan(2_212 * 13 / 16));
        assertThat(bounds.callers().maxConnections(), greaterThan(700));
        assertThat(bounds.readiness().maxHeldBytes(), greaterThan(1_000_000L));
    }

    /** Guards against ordinary callers that a VM with little memory besides its heap turns away. */
    @Test
    void vmWithLittleMemoryServesOrdinaryCallers() {
        ConnectionBounds bounds = ConnectionBounds.of(160, 4_100, 96L << 20);
        assertThat(bounds.callers().maxConnections(), greaterThan(500));
        assertThat(bounds.internal().maxConnections(), greaterThan(100));
    }
}
