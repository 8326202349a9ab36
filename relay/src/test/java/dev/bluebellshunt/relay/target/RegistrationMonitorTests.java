package dev.bluebellshunt.relay.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.relay.model.TargetEntry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tells targets that crashed from targets that only lost a connection, by their entries in the store. */
class RegistrationMonitorTests {

    private static final long FINGERPRINT = 7;
    private static final Duration ENTRY_LIFETIME = Duration.ofMillis(3_600);
    private static final Duration TIME_TO_CLEAR = ENTRY_LIFETIME.plus(RegistrationMonitor.OUTAGE_MARGIN);
    private static final Duration INSTANT = Duration.ofMillis(1);
    private static final TargetEntry TARGET = entry(1);

    private final ManualClock clock = new ManualClock();
    private final CrashSuspects suspects = new CrashSuspects(clock);
    private final RegistrationMonitor monitor = new RegistrationMonitor(suspects, ENTRY_LIFETIME);

    private static TargetEntry entry(long born) {
        return new TargetEntry("t", born, "apps", "127.0.0.1", 1, "fd-1", 6, false, Map.of());
    }

    private void readAfter(Duration time, TargetEntry... entries) {
        clock.advance(time);
        monitor.update(List.of(entries), clock.nanos());
    }

    private void loseConnection() {
        suspects.recordCrash(TARGET.incarnation().name(), TARGET.failureDomain(), List.of(FINGERPRINT));
    }

    private Set<String> crashedTargets() {
        return suspects.crashedTargets(FINGERPRINT);
    }

    @Test
    void targetThatStaysRegisteredHasNotCrashed() {
        readAfter(INSTANT, TARGET);
        loseConnection();
        readAfter(TIME_TO_CLEAR, TARGET);
        assertThat("the entry may be older than the crash", crashedTargets(), equalTo(Set.of("t@1")));
        readAfter(INSTANT, TARGET);
        assertThat(crashedTargets(), equalTo(Set.of()));
    }

    @Test
    void targetThatIsNoLongerRegisteredHasCrashed() {
        readAfter(INSTANT, TARGET);
        loseConnection();
        readAfter(ENTRY_LIFETIME, TARGET);
        readAfter(ENTRY_LIFETIME);
        readAfter(ENTRY_LIFETIME);
        assertThat(crashedTargets(), equalTo(Set.of("t@1")));
    }

    @Test
    void restartedTargetDoesNotClearCrashOfPreviousIncarnation() {
        readAfter(INSTANT, TARGET);
        loseConnection();
        for (int i = 0; i < 4; i++) {
            readAfter(ENTRY_LIFETIME, entry(2));
        }
        assertThat(crashedTargets(), equalTo(Set.of("t@1")));
    }

    /** The store keeps the entries of ended targets while it is unavailable. */
    @Test
    void entryKeptThroughOutageOfStoreDoesNotClearCrash() {
        readAfter(INSTANT, TARGET);
        loseConnection();
        monitor.recordStoreFailure();
        readAfter(TIME_TO_CLEAR.multipliedBy(2), TARGET);
        readAfter(ENTRY_LIFETIME, TARGET);
        assertThat(crashedTargets(), equalTo(Set.of("t@1")));
        readAfter(TIME_TO_CLEAR, TARGET);
        assertThat(crashedTargets(), equalTo(Set.of()));
    }
}
