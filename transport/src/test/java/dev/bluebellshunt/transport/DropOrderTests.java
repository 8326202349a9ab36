package dev.bluebellshunt.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import dev.bluebellshunt.transport.DropOrder.Candidate;
import dev.bluebellshunt.transport.DropOrder.Phase;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class DropOrderTests {

    /** Guards against ordinary callers that are closed in place of those that make no progress. */
    @Test
    void longestWithoutProgressComesFirstThenMostHeld() {
        Candidate idle = new Candidate(Phase.IDLE, 900, 0);
        Candidate fresh = new Candidate(Phase.CALLER, 1, 9_000);
        Candidate stalled = new Candidate(Phase.CALLER, 500, 10);
        Candidate stalledAndLarge = new Candidate(Phase.CALLER, 500, 20);
        assertThat(
                Stream.of(idle, fresh, stalled, stalledAndLarge)
                        .sorted(DropOrder.FIRST_TO_DROP)
                        .toList(),
                contains(stalledAndLarge, stalled, fresh, idle));
    }

    /** Guards against a lost response to a request that may have run. */
    @Test
    void connectionThatWaitsForResponseIsKept() {
        assertThat(new Candidate(Phase.RESPONSE, 9_000, 9_000).mayBeDropped(), is(false));
    }
}
