package dev.bluebellshunt.router.caller;

import dev.bluebellshunt.router.proxy.CallerResponse;
import java.io.IOException;
import java.io.OutputStream;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Response;
import org.jspecify.annotations.Nullable;

/** Writes to a caller over Jetty; a write waits until the bytes are on their way. */
final class JettyCallerSink implements CallerResponse {

    private final Response response;
    private @Nullable OutputStream output;

    JettyCallerSink(Response response) {
        this.response = response;
    }

    @Override
    public void start(int status, HttpFields headers) {
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
        OutputStream begun = output;
        if (begun == null) {
            throw new IllegalStateException("start must come before write");
        }
        if (bytes.length > 0) {
            begun.write(bytes);
        }
        if (last) {
            begun.close();
        }
    }
}
