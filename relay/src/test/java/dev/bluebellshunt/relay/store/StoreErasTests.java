package dev.bluebellshunt.relay.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.bluebellshunt.core.testing.ManualClock;
import java.time.Duration;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

class StoreErasTests {

    private final ManualClock clock = new ManualClock();
    private final StoreEras eras = new StoreEras(clock);

    /** Guards against a store without eras that is no longer used. */
    @Test
    void storeThatStatesNoEraIsUsed() {
        assertThat(eras.record(null), is(OptionalLong.of(StoreRevision.NO_ERA)));
        assertThat(eras.current().isStated(), is(false));
        assertThat(eras.doubtfulResponses(), is(0L));
    }

    /** Guards against the use of a response whose era is unknown or over. */
    @ParameterizedTest
    @NullSource
    @ValueSource(strings = {"6", "0", "-8", "x", "", "8.5", "99999999999999999999"})
    void doubtfulResponseIsNotUsed(String stated) {
        eras.record("7");
        assertThat(eras.record(stated), is(OptionalLong.empty()));
        assertThat(eras.current().number(), is(7L));
        assertThat(eras.doubtfulResponses(), is(1L));
        assertThat(eras.record("7"), is(OptionalLong.of(7)));
    }

    /** Guards against a wait for the holders of an earlier era that begins before the new one, or again with each response. */
    @Test
    void eraBeginsWithItsFirstResponse() {
        eras.record("7");
        clock.advance(Duration.ofSeconds(1));
        eras.record("8");
        clock.advance(Duration.ofSeconds(1));
        eras.record("8");
        assertThat(
                eras.current(),
                equalTo(new StoreEra(8, clock.nanos() - Duration.ofSeconds(1).toNanos())));
    }

    /** Guards against a fencing token that falls with the revision, or that differs from it without eras. */
    @Test
    void risingNumberRisesWithEraAlthoughRevisionFalls() {
        assertThat(new StoreRevision(StoreRevision.NO_ERA, 12).rising(), is(12L));
        assertThat(
                new StoreRevision(1, 2).rising(),
                greaterThan(new StoreRevision(StoreRevision.NO_ERA, 4_000_000_000L).rising()));
        assertThat(new StoreRevision(8, 2).rising(), greaterThan(new StoreRevision(7, 4_000_000_000L).rising()));
        assertThrows(ArithmeticException.class, () -> new StoreRevision(Long.MAX_VALUE, 1).rising());
    }

    /** Guards against publications that are dated by revisions which a restore has assigned again. */
    @Test
    void readsOfEarlierEraDateNoRevision() {
        RevisionTimes times = new RevisionTimes();
        times.record(new StoreRevision(1, 50), 10);
        times.record(new StoreRevision(2, 40), 20);
        times.record(new StoreRevision(1, 60), 30);
        assertThat(times.lastReadBefore(new StoreRevision(2, 40)), is(OptionalLong.empty()));
        assertThat(times.lastReadBefore(new StoreRevision(2, 70)), is(OptionalLong.of(20)));
    }
}
