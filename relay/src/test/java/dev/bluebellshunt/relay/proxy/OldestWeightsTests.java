package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.relay.store.OperatorStateSystem.NamedWeights;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Requests that wait at an engine for longer than others do not begin on weights that are too old by then. */
class OldestWeightsTests {

    private static final Duration BOUND = Duration.ofSeconds(5);
    private final NamedWeights named = new NamedWeights(2, 0, new NamedWeights(1, -1_000_000_000_000L, null));

    private long at(Duration sinceNamed, boolean late) {
        return OldestWeights.at(named, sinceNamed.toNanos(), BOUND, late);
    }

    @Test
    void olderWeightsWillDoUntilTheBound() {
        assertThat(at(BOUND.minusMillis(1), false), equalTo(1L));
        assertThat(at(BOUND, false), equalTo(2L));
    }

    @Test
    void requestThatGoesBehindAllOthersNeedsNewWeightsEarlier() {
        Duration early = BOUND.minus(OldestWeights.LATE_WAIT);
        assertThat(at(early.minusMillis(1), true), equalTo(1L));
        assertThat(at(early, true), equalTo(2L));
    }

    @Test
    void anyWeightsWillDoWhereNoneAreNamed() {
        assertThat(OldestWeights.at(null, 0, BOUND, true), equalTo(0L));
    }
}
