package dev.bluebellshunt.router.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.not;

import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.transport.HttpServers;
import dev.bluebellshunt.transport.JsonErrorHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JettyCallerResponseTests {

    private static final int TIMEOUT_MS = 20_000;

    private final Closer closer = new Closer();

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against an open-ended body that gets a length or a last chunk, which both say that it is complete. */
    @ParameterizedTest
    @ValueSource(strings = {"half a not", ""})
    void openEndIsNotMarked(String body) throws Exception {
        int port = HttpServers.start(
                        "test",
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        HttpServers.newConfiguration(),
                        new OpenEndedHandler(body),
                        new JsonErrorHandler(),
                        closer)
                .getLocalPort();
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.setSoTimeout(TIMEOUT_MS);
            caller.getOutputStream()
                    .write("GET / HTTP/1.1\r\nhost: h.example\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String response = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(
                    response.toLowerCase(Locale.ROOT),
                    allOf(
                            not(containsString("content-length")),
                            not(containsString("transfer-encoding")),
                            containsString("connection: close"),
                            endsWith("\r\n\r\n" + body)));
        }
    }

    private static final class OpenEndedHandler extends Handler.Abstract {
        private final String body;

        private OpenEndedHandler(String body) {
            this.body = body;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws IOException {
            JettyCallerResponse callerResponse = new JettyCallerResponse(response);
            callerResponse.startOpenEnded(200, HttpFields.EMPTY);
            callerResponse.write(body.getBytes(StandardCharsets.US_ASCII), true);
            callback.succeeded();
            return true;
        }
    }
}
