package dev.bluebellshunt.router.caller;

import dev.bluebellshunt.router.proxy.CallerResponse;
import dev.bluebellshunt.transport.ResponseEnds;
import java.io.IOException;
import java.io.OutputStream;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Response;
import org.jspecify.annotations.Nullable;

/** {@link CallerResponse} on top of a Jetty response. Each write blocks until Jetty has written the bytes. */
final class JettyCallerResponse implements CallerResponse {

    private final Response response;
    private @Nullable OutputStream output;
    private boolean openEnded;

    JettyCallerResponse(Response response) {
        this.response = response;
    }

    @Override
    public void start(int status, HttpFields headers) {
        setHead(status, headers);
        ResponseEnds.requireChunks(response);
    }

    @Override
    public void startOpenEnded(int status, HttpFields headers) {
        setHead(status, headers);
        ResponseEnds.endWithConnection(response);
        openEnded = true;
    }

    private void setHead(int status, HttpFields headers) {
        response.setStatus(status);
        response.getHeaders().add(headers);
        output = Content.Sink.asOutputStream(response);
    }

    @Override
    public boolean isStarted() {
        return output != null;
    }

    @Override
    public void write(byte[] bytes, boolean last) throws IOException {
        OutputStream startedOutput = output;
        if (startedOutput == null) {
            throw new IllegalStateException("start must be called before write");
        }
        if (bytes.length > 0) {
            startedOutput.write(bytes);
        } else if (openEnded) {
            // Jetty gives a body without bytes a length, unless the head has been sent before.
            startedOutput.flush();
        }
        if (last) {
            startedOutput.close();
        }
    }
}
