package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.relay.telemetry.RelayMetrics;
import dev.bluebellshunt.transport.CallerConnections;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Receives reports from the other VMs and serves metrics, on a port that callers can't reach. */
public final class InternalHandler extends Handler.Abstract {

    private static final String METRICS_PATH = "/metrics";
    private static final int MAX_REPORT_BYTES = 256 * 1024;
    private static final Logger log = LoggerFactory.getLogger("peers");

    private final ReportReceiver receiver;
    private final RelayMetrics metrics;

    /**
     * Creates the handler.
     *
     * @param receiver receives the reports
     * @param metrics the metrics to serve
     */
    public InternalHandler(ReportReceiver receiver, RelayMetrics metrics) {
        this.receiver = receiver;
        this.metrics = metrics;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws IOException {
        String path = Request.getPathInContext(request);
        if (HttpReportClient.REPORT_PATH.equals(path)) {
            receiveReport(request, response, callback);
            return true;
        }
        if (METRICS_PATH.equals(path)) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; version=0.0.4");
            response.write(true, ByteBuffer.wrap(metrics.text()), callback);
            return true;
        }
        return false;
    }

    private void receiveReport(Request request, Response response, Callback callback) throws IOException {
        Optional<ReportReply> reply;
        try (InputStream input = Content.Source.asInputStream(request)) {
            String report = new String(input.readNBytes(MAX_REPORT_BYTES), StandardCharsets.UTF_8);
            CallerConnections.requestRead(request);
            reply = receiver.receive(Json.read(report, ReportMessage.class));
        } catch (IllegalArgumentException e) {
            log.warn("Rejecting malformed peer report: {}", e.getMessage());
            response.setStatus(HttpStatus.BAD_REQUEST_400);
            response.write(true, null, callback);
            return;
        }
        if (reply.isEmpty()) {
            response.setStatus(HttpStatus.SERVICE_UNAVAILABLE_503);
            response.write(true, null, callback);
            return;
        }
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(Json.write(reply.get()).getBytes(StandardCharsets.UTF_8)), callback);
    }
}
