package dev.bluebellshunt.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.core.testing.ManualClock;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.api.Test;

/** Guards against a shutdown that closes a connection whose request has not been read yet. */
class QuietConnectionsTests {

    private static final Duration HALF_PERIOD = QuietConnections.QUIET_PERIOD.dividedBy(2);

    private final ManualClock clock = new ManualClock();
    private final Set<EndPoint> busy = new HashSet<>();
    private final QuietConnections connections = new QuietConnections(clock, connection -> !busy.contains(connection));
    private final EndPoint connection = new ByteArrayEndPoint();

    private int closeQuiet() {
        return connections.closeQuiet(connection.isOpen() ? List.of(connection) : List.of());
    }

    @Test
    void newConnectionStaysOpenForQuietPeriod() {
        assertThat(closeQuiet(), equalTo(1));
        clock.advance(HALF_PERIOD);
        assertThat(closeQuiet(), equalTo(1));
        assertThat(connection.isOpen(), equalTo(true));
        clock.advance(HALF_PERIOD);
        assertThat(closeQuiet(), equalTo(0));
        assertThat(connection.isOpen(), equalTo(false));
    }

    @Test
    void requestStartsQuietPeriodAnew() {
        closeQuiet();
        clock.advance(HALF_PERIOD);
        busy.add(connection);
        closeQuiet();
        busy.clear();
        clock.advance(HALF_PERIOD);
        assertThat(closeQuiet(), equalTo(1));
        assertThat(connection.isOpen(), equalTo(true));
    }

    @Test
    void busyConnectionIsNotClosed() {
        busy.add(connection);
        closeQuiet();
        clock.advance(QuietConnections.QUIET_PERIOD.multipliedBy(3));
        assertThat(closeQuiet(), equalTo(1));
        assertThat(connection.isOpen(), equalTo(true));
    }
}
