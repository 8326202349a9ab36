package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.retry.CrashReport;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.relay.target.EngineCacheIndex;
import dev.bluebellshunt.relay.target.TargetDirectory;
import dev.bluebellshunt.relay.telemetry.RelayMetrics;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
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

    private final PeerReportTable peerReports;
    private final EngineCacheIndex engineCacheIndex;
    private final TargetDirectory directory;
    private final CrashSuspects crashSuspects;
    private final RelayMetrics metrics;

    /**
     * Creates the handler.
     *
     * @param peerReports receives the reports
     * @param engineCacheIndex receives the reported cache contents of the engines
     * @param directory receives the reported weights of the engines
     * @param crashSuspects receives the reported crashes of targets
     * @param metrics the metrics to serve
     */
    public InternalHandler(
            PeerReportTable peerReports,
            EngineCacheIndex engineCacheIndex,
            TargetDirectory directory,
            CrashSuspects crashSuspects,
            RelayMetrics metrics) {
        this.peerReports = peerReports;
        this.engineCacheIndex = engineCacheIndex;
        this.directory = directory;
        this.crashSuspects = crashSuspects;
        this.metrics = metrics;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws IOException {
        String path = Request.getPathInContext(request);
        if (PeerSystem.REPORT_PATH.equals(path)) {
            response.setStatus(receiveReport(request) ? HttpStatus.NO_CONTENT_204 : HttpStatus.BAD_REQUEST_400);
            response.write(true, null, callback);
            return true;
        }
        if (METRICS_PATH.equals(path)) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; version=0.0.4");
            response.write(true, ByteBuffer.wrap(metrics.text()), callback);
            return true;
        }
        return false;
    }

    private boolean receiveReport(Request request) throws IOException {
        try (InputStream input = Content.Source.asInputStream(request)) {
            String text = new String(input.readNBytes(MAX_REPORT_BYTES), StandardCharsets.UTF_8);
            PeerReport report = Json.read(text, PeerReport.class);
            peerReports.update(report);
            engineCacheIndex.mergeUpdates(report.prefixes());
            directory.recordLoadedWeights(report.loaded());
            CrashReport crashes = report.crashes();
            if (crashes != null) {
                crashSuspects.mergeReport(crashes);
            }
            return true;
        } catch (IllegalArgumentException e) {
            log.warn("Rejecting malformed peer report: {}", e.getMessage());
            return false;
        }
    }
}
