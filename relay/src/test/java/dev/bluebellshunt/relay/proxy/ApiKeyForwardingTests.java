package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.nullValue;

import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

/** What targets see of callers' API keys. */
class ApiKeyForwardingTests extends AbstractRelayHandlerTests {

    private HttpFields forwarded(String path, String apiKey) throws Exception {
        int status = request(path)
                .headers(headers -> headers.put("authorization", apiKey).put("t-workspace", "forged"))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send()
                .getStatus();
        assertThat(status, equalTo(200));
        return receivedRequests.remove().headers();
    }

    /** Guards against keys that targets receive from callers which send them on a route that has become open to all. */
    @Test
    void keyIsWithheldOnOpenRoute() throws Exception {
        configure();
        HttpFields headers = forwarded("/open/", "secret");
        assertThat(headers.get("authorization"), nullValue());
        assertThat(headers.get("t-workspace"), equalTo("w"));
    }

    @Test
    void unknownKeyOnOpenRouteIsWithheldAndNamesNoWorkspace() throws Exception {
        configure();
        HttpFields headers = forwarded("/open/", "withdrawn-secret");
        assertThat(headers.get("authorization"), nullValue());
        assertThat(headers.get("t-workspace"), nullValue());
    }

    /** Guards against a workspace that is named although its key may have been withdrawn. */
    @Test
    void keyOnOpenRouteNamesNoWorkspaceUnderStaleConfiguration() throws Exception {
        configure();
        clock.advance(MAX_CONFIGURATION_AGE);
        HttpFields headers = forwarded("/open/", "secret");
        assertThat(headers.get("authorization"), nullValue());
        assertThat(headers.get("t-workspace"), nullValue());
    }

    @Test
    void openRouteIsNotLimitedByWorkspace() throws Exception {
        configure();
        for (int i = 0; i < 5; i++) {
            assertThat(forwarded("/open/", "limited-secret").get("t-workspace"), equalTo("limited"));
        }
    }
}
