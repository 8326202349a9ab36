package dev.bluebellshunt.router.admin;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.key.ApiKey;
import dev.bluebellshunt.core.key.ApiKeyAuthenticator;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.model.KeySpec;
import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.usage.Usage;
import dev.bluebellshunt.router.control.RouterSnapshot;
import dev.bluebellshunt.router.control.SnapshotHolder;
import dev.bluebellshunt.router.proxy.ProxySupport;
import dev.bluebellshunt.transport.DrainState;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Serves the administration API: health checks, metrics, status and usage.
 *
 * <p>Health checks and metrics need no authentication. A workspace's usage is available with an API key
 * of that workspace. Every other path requires the operator credential.
 */
public final class AdminHandler extends Handler.Abstract {

    private static final String BEARER_PREFIX = "Bearer ";

    private final String vm;
    private final SnapshotHolder snapshots;
    private final ProxySupport proxySupport;
    private final DrainState drainState;
    private final KeySpec operatorKey;

    /**
     * Creates the handler.
     *
     * @param vm the name of the VM
     * @param snapshots provides the current control state
     * @param proxySupport provides the metrics and the usage counters
     * @param drainState tells whether the process is shutting down
     * @param operatorDigest the salt and the digest of the operator credential, separated by a colon
     */
    public AdminHandler(
            String vm,
            SnapshotHolder snapshots,
            ProxySupport proxySupport,
            DrainState drainState,
            String operatorDigest) {
        this.vm = vm;
        this.snapshots = snapshots;
        this.proxySupport = proxySupport;
        this.drainState = drainState;
        int colon = operatorDigest.indexOf(':');
        this.operatorKey = new KeySpec(
                "operator",
                "operators",
                operatorDigest.substring(0, Math.max(0, colon)),
                operatorDigest.substring(colon + 1));
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        switch (Request.getPathInContext(request)) {
            case "/livez" -> sendText(response, callback, HttpStatus.OK_200, "live\n");
            case "/readyz" -> sendReadiness(response, callback);
            case "/metrics" -> sendMetrics(response, callback);
            case "/v1/usage" -> sendUsage(request, response, callback);
            case "/v1/status" -> sendIfAuthorized(request, response, callback, status());
            case "/v1/targets" -> sendIfAuthorized(request, response, callback, targetStatuses());
            case "/v1/workspaces" -> sendIfAuthorized(request, response, callback, workspaceStatuses());
            case "/v1/members" ->
                sendIfAuthorized(
                        request, response, callback, snapshots.snapshot().members());
            default -> Response.writeError(request, response, callback, HttpStatus.NOT_FOUND_404, "Unknown path.");
        }
        return true;
    }

    private void sendReadiness(Response response, Callback callback) {
        RouterSnapshot snapshot = snapshots.snapshot();
        boolean ready = snapshot.configuration().isPresent()
                && snapshot.isConfigurationCurrent(proxySupport.clock())
                && !drainState.isDraining();
        int status = ready ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503;
        sendText(response, callback, status, ready ? "ready\n" : "not ready\n");
    }

    private void sendMetrics(Response response, Callback callback) {
        proxySupport.metrics().setRevision(snapshots.snapshot().configuration().revision());
        sendText(
                response,
                callback,
                HttpStatus.OK_200,
                new String(proxySupport.metrics().scrape(), StandardCharsets.UTF_8));
    }

    private static void sendText(Response response, Callback callback, int status, String text) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8");
        Content.Sink.write(response, true, text, callback);
    }

    private void sendIfAuthorized(Request request, Response response, Callback callback, Object value) {
        String credential = credential(request);
        boolean authorized = credential != null
                && ApiKey.parse(credential).map(key -> key.matches(operatorKey)).orElse(false);
        if (!authorized) {
            Response.writeError(
                    request,
                    response,
                    callback,
                    HttpStatus.UNAUTHORIZED_401,
                    "A valid operator credential is required.");
            return;
        }
        sendJson(response, callback, value);
    }

    private void sendUsage(Request request, Response response, Callback callback) {
        FleetConfiguration configuration = snapshots.snapshot().configuration();
        try {
            Workspace workspace = ApiKeyAuthenticator.authenticate(configuration, credential(request));
            Usage usage = proxySupport.usage().snapshot().getOrDefault(workspace.name(), Usage.NONE);
            sendJson(
                    response,
                    callback,
                    new WorkspaceStatus(workspace.name(), workspace.rate(), workspace.burst(), usage));
        } catch (ShuntException e) {
            Response.writeError(request, response, callback, HttpStatus.UNAUTHORIZED_401, e.getMessage());
        }
    }

    private static @Nullable String credential(Request request) {
        String authorization = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        return authorization != null && authorization.startsWith(BEARER_PREFIX)
                ? authorization.substring(BEARER_PREFIX.length())
                : null;
    }

    private static void sendJson(Response response, Callback callback, Object value) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        Content.Sink.write(response, true, Json.write(value), callback);
    }

    private Status status() {
        RouterSnapshot snapshot = snapshots.snapshot();
        return new Status(
                vm,
                snapshot.configuration().revision(),
                snapshot.isConfigurationCurrent(proxySupport.clock()),
                drainState.isDraining(),
                drainState.openRequests(),
                snapshot.members().size());
    }

    private List<TargetStatus> targetStatuses() {
        return snapshots.snapshot().routing().all().stream()
                .map(view -> new TargetStatus(
                        view.name(),
                        view.spec().address(),
                        view.state().name().toLowerCase(Locale.ROOT),
                        view.incarnation(),
                        view.runtimeState().requestsInFlight()))
                .sorted(Comparator.comparing(TargetStatus::name))
                .toList();
    }

    private List<WorkspaceStatus> workspaceStatuses() {
        Map<String, Usage> usage = proxySupport.usage().snapshot();
        return snapshots.snapshot().configuration().workspaces().values().stream()
                .map(workspace -> new WorkspaceStatus(
                        workspace.name(),
                        workspace.rate(),
                        workspace.burst(),
                        usage.getOrDefault(workspace.name(), Usage.NONE)))
                .sorted(Comparator.comparing(WorkspaceStatus::name))
                .toList();
    }

    private record Status(String vm, long revision, boolean current, boolean draining, int openRequests, int members) {}

    private record TargetStatus(String name, String address, String state, String incarnation, int inFlight) {}

    private record WorkspaceStatus(String name, long rate, long burst, Usage usage) {}
}
