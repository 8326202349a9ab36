package dev.bluebellshunt.relay.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.nullValue;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.retry.CrashReport;
import dev.bluebellshunt.core.retry.PromptPartReport;
import dev.bluebellshunt.relay.target.InFlightLoad;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Encoding of the reports between VMs, also of VMs with an older version. */
class PeerReportTests {

    private static final PromptPartReport PROMPT_PARTS = new PromptPartReport(
            Map.of("part", Map.of("t@1", new PromptPartReport.Crash(true, 5))),
            Map.of("other", Set.of("t@2")),
            Set.of("part"),
            Set.of("part"),
            Set.of("part"),
            Map.of("part", Map.of("t@1", Set.of(-6L))));

    @Test
    void crashesAreEncoded() {
        CrashReport crashes =
                new CrashReport(Map.of(-3L, Map.of("t@1", "fd-1")), Map.of(4L, Set.of("t@2")), PROMPT_PARTS);
        PeerReport report = new PeerReport(
                "vm-1",
                1,
                Map.of(),
                Map.of(),
                Map.of(),
                false,
                List.of(),
                crashes,
                Map.of(),
                Map.of("pool", new RetryUsage(2, 1)),
                Set.of("vm-1"),
                Map.of(),
                PeerObservations.NONE);
        assertThat(Json.read(Json.write(report), PeerReport.class), equalTo(report));
    }

    @Test
    void reportOfOlderVersionHasNoCrashes() {
        String older = """
                {"vm":"vm-1","sequence":1,"uses":{},"admitted":{},"prefixes":{},"givesOrders":false,"loaded":[]}""";
        assertThat(Json.read(older, PeerReport.class).crashes(), nullValue());
    }

    /** Guards against reports that a VM of another version cannot read while versions are mixed. */
    @Test
    void loadsOfOtherVersionsAreRead() {
        assertThat(Json.read("[1,2,3,4]", InFlightLoad.class), equalTo(new InFlightLoad(1, 2, 3, 4)));
        assertThat(Json.read("[1,2,3,4,5,6,7]", InFlightLoad.class), equalTo(new InFlightLoad(1, 2, 3, 4, 5, 6)));
    }
}
