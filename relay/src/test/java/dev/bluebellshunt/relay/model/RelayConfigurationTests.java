package dev.bluebellshunt.relay.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.core.codec.Json;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RelayConfigurationTests {

    /** Guards against parts that are lost between VMs, for example the keys or a duration. */
    @Test
    void configurationIsTheSameAfterItWasSentToAnotherVm() {
        RelayRoute route = new RelayRoute(
                "r",
                "h",
                "/x/",
                RouteKind.STREAM,
                Duration.ofMillis(1_500),
                Duration.ofSeconds(2),
                1,
                2,
                false,
                true,
                List.of(new RelayRoute.PoolShare("engines", 3)));
        RelayWorkspace workspace = new RelayWorkspace("w", 1, true, true, 200, 10.5, 20);
        PoolSpec pool = new PoolSpec("engines", 7, new PoolSpec.EngineSpec(8, 1_000));
        CallerLimits limits = new CallerLimits(1, 2, Duration.ofMillis(4), Duration.ofMillis(3));
        RelayConfiguration sent = new RelayConfiguration(
                9,
                List.of(route),
                Map.of("engines", pool),
                Map.of("w", workspace),
                Map.of("key", "w"),
                List.of("10.0.0.1:80"),
                limits);
        RelayConfiguration received = Json.read(Json.write(sent), RelayConfiguration.class);
        assertThat(received.version(), equalTo(9L));
        assertThat(received.route("h", "/x/y"), equalTo(Optional.of(route)));
        assertThat(received.pools(), equalTo(sent.pools()));
        assertThat(received.workspaceOfKey("key"), equalTo(Optional.of(workspace)));
        assertThat(received.workspaces(), equalTo(sent.workspaces()));
        assertThat(received.cacheStores(), equalTo(sent.cacheStores()));
        assertThat(received.limits(), equalTo(limits));
    }
}
