package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.relay.model.PoolSpec;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.model.RelayRoute;
import dev.bluebellshunt.relay.model.RelayWorkspace;
import dev.bluebellshunt.relay.model.RouteKind;
import dev.bluebellshunt.relay.store.DesiredWeights;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.SentRequest;
import dev.bluebellshunt.transport.ResponseBody;
import dev.bluebellshunt.transport.ResponseFraming;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Processes one request: admits it, sends it to targets until one responds, and forwards the response.
 *
 * <p>Confined to one thread, except that {@link #onCallerDisconnect()} may be called by another thread.
 */
final class RelayCall {

    /**
     * Responses on routes that do not stream are buffered up to this size, or as far as there is memory, before the
     * first byte is written to the caller.
     */
    private static final int MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024;

    private static final int READ_BUFFER_BYTES = 8 * 1024;

    /** How long an engine that rejected a request gets no others; about the last steps of a running request. */
    private static final Duration TARGET_OVERLOADED_BACKOFF = Duration.ofMillis(150);

    /** A target that has begun a response with a lower status runs the request, whatever the headers say. */
    private static final int CLIENT_ERROR_STATUS = 400;

    private static final int SERVER_ERROR_STATUS = 500;

    /**
     * Callers take these statuses to mean that the request was not run. A target that returns one without declaring so
     * may have run it.
     */
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

    /** A target that crashes because of a prompt does so soon after its first byte. */
    private static final Duration WRITING_PROOF_TIME = Duration.ofMillis(500);

    static final String SHUTTING_DOWN = "This router is shutting down.";

    /** Short, since another router can serve the caller immediately. */
    static final Duration DRAINING_RETRY_DELAY = Duration.ofMillis(20);

    private final RelayContext context;
    private final CallerRequest caller;
    private final CrashTracker crashes;
    private final ResponseWriter writer;
    private final long receivedNanos;
    private final SendHistory history = new SendHistory();
    private final TargetChoice choice;

    private boolean retryReserved;
    private long sentNanos;
    private boolean responseBegun;

    private String result = "ok";
    private String lastTarget = "none";
    private long lastTargetBornMillis;
    private String lastFailureReason = "none";
    private @Nullable PromptCachePlan cache;
    private @Nullable TargetExchange exchange;
    private boolean callerDisconnected;
    private boolean shuttingDown;

    RelayCall(RelayContext context, Request request, Response response, long receivedNanos) {
        this.context = context;
        this.caller = new CallerRequest(context, request, receivedNanos);
        this.crashes = new CrashTracker(context, caller);
        this.writer = new ResponseWriter(response);
        this.receivedNanos = receivedNanos;
        this.choice = new TargetChoice(context, caller, history, receivedNanos);
    }

    String requestId() {
        return caller.requestId();
    }

    boolean isBodyRead() {
        return caller.isBodyRead();
    }

    void setResult(String newResult) {
        result = newResult;
    }

    /** Aborts the request to the target, because the caller no longer waits for the response. */
    void onCallerDisconnect() {
        TargetExchange running;
        synchronized (this) {
            callerDisconnected = true;
            running = exchange;
        }
        if (running != null) {
            running.abort(new CallerDisconnectedException());
        }
    }

    /** Aborts the request to the target, because the process is about to exit. */
    void onShutdown() {
        TargetExchange running;
        synchronized (this) {
            shuttingDown = true;
            running = exchange;
        }
        if (running != null) {
            running.abort(new IOException("the router is shutting down"));
        }
    }

    private synchronized boolean isShuttingDown() {
        return shuttingDown;
    }

    /** Whether this VM has ended the exchange with the target, which says nothing about the target. */
    private synchronized boolean hasAborted() {
        return callerDisconnected || shuttingDown;
    }

    synchronized boolean isCallerDisconnected() {
        return callerDisconnected;
    }

    private synchronized void setExchange(@Nullable TargetExchange newExchange) throws IOException {
        exchange = newExchange;
        if (newExchange != null && callerDisconnected) {
            throw new CallerDisconnectedException();
        }
        if (newExchange != null && shuttingDown) {
            throw noResponse(ErrorCode.DRAINING, SHUTTING_DOWN, DRAINING_RETRY_DELAY);
        }
    }

    /** Reads, authenticates and charges the request. */
    void admit() throws IOException {
        caller.admit();
    }

    /** Sends the request to targets until one responds, and forwards the response. */
    void forward() throws IOException {
        RelayRoute route = caller.route();
        PoolSpec pool = caller.pool();
        RetryDecision retries = new RetryDecision(route, history, crashes::isPromptPartSuspect);
        context.limits().recordRequest(pool.name());
        while (true) {
            if (isCallerDisconnected()) {
                throw new CallerDisconnectedException();
            }
            if (caller.deadline().hasPassed(context.clock())) {
                throw noResponse(ErrorCode.DEADLINE_EXCEEDED, "The deadline of the request has passed.");
            }
            checkShutdown();
            checkQuarantine();
            LiveTarget target = chooseTarget();
            boolean firstAttempt = history.possiblyExecuted() + history.rejected() == 0;
            if (!firstAttempt && !retryReserved && !context.limits().tryAcquireRetry(pool.name())) {
                throw noResponse(ErrorCode.OVERLOADED, "The retry limit of the pool is exhausted.");
            }
            retryReserved = false;
            if (attempt(target, route, retries)) {
                return;
            }
            if (!retries.mayRetry()) {
                throw noResponse(ErrorCode.TARGET_FAILED, "The target " + lastTarget + " sent no usable response.");
            }
        }
    }

    private LiveTarget chooseTarget() {
        return switch (choice.next()) {
            case TargetChoice.Outcome.Chosen chosen -> chosen.target();
            case TargetChoice.Outcome.NoTarget none ->
                throw noResponse(ErrorCode.NO_TARGET, none.message(), none.retryDelay());
            case TargetChoice.Outcome.TooLate tooLate -> {
                caller.refund();
                throw ShuntException.notRun(
                        ErrorCode.OVERLOADED,
                        Step.ROUTE,
                        "The queues of the targets are too long to start the request before its deadline.",
                        tooLate.retryDelay());
            }
        };
    }

    /** Ends a request that would begin at a target, but may not end before this process does. */
    private void checkShutdown() {
        boolean unsent = history.possiblyExecuted() == 0;
        if (isShuttingDown() || (unsent && !context.drainState().mayBegin(caller.deadline()))) {
            throw noResponse(ErrorCode.DRAINING, SHUTTING_DOWN, DRAINING_RETRY_DELAY);
        }
    }

    /** Rejects a request that several targets crashed under, here or at other VMs. */
    private void checkQuarantine() {
        Duration quarantine = crashes.quarantine();
        if (quarantine.isZero()) {
            return;
        }
        throw noResponse(
                ErrorCode.TARGETS_CRASHED,
                "Several targets crashed while running this request or others with the same prompt part.",
                quarantine);
    }

    /** Returns the error for a request without a response, which states whether a target may have run it. */
    private ShuntException noResponse(ErrorCode code, String message) {
        return noResponse(code, message, TargetChoice.NO_TARGET_RETRY_DELAY);
    }

    private ShuntException noResponse(ErrorCode code, String message, Duration retryDelay) {
        if (history.possiblyExecuted() == 0) {
            caller.refund();
            ErrorCode rejectionCode = code == ErrorCode.TARGET_FAILED || code == ErrorCode.DEADLINE_EXCEEDED
                    ? ErrorCode.OVERLOADED
                    : code;
            return ShuntException.notRun(rejectionCode, Step.FORWARD, message, retryDelay);
        }
        ErrorCode failureCode = code == ErrorCode.DEADLINE_EXCEEDED ? code : ErrorCode.TARGET_FAILED;
        return new ShuntException(failureCode, Step.FORWARD, lastTarget, Outcome.UNKNOWN, message);
    }

    /** Sends the request to a target. Returns false if it failed and may be retried, as far as the route allows. */
    private boolean attempt(LiveTarget target, RelayRoute route, RetryDecision retries) throws IOException {
        SentRequest sent = choice.sentRequest();
        int earlierSends = history.recordSend(target.entry());
        lastTarget = target.entry().id();
        lastTargetBornMillis = target.entry().bornMillis();
        target.load().requestSent(sent);
        Duration timeout = caller.deadline().remaining(context.clock());
        sentNanos = context.clock().nanos();
        responseBegun = false;
        String model = caller.metadata().model();
        cache = model == null
                ? null
                : PromptCachePlan.create(context, target, caller.metadata(), caller.workspace(), model);
        crashes.recordSent(target, sentNanos);
        try (TargetExchange exchange = new TargetExchange(
                context.httpClient(),
                target.entry(),
                earlierSends,
                () -> choice.mayBegin(target),
                caller.outgoing(),
                TargetRequestHeaders.build(context, caller, target, cache, choice.isLate(), timeout),
                timeout)) {
            setExchange(exchange);
            return processExchange(target, route, retries, exchange);
        } finally {
            crashes.recordAttemptEnd();
            target.load().requestEnded(sent, responseBegun);
            setExchange(null);
        }
    }

    private boolean processExchange(LiveTarget target, RelayRoute route, RetryDecision retries, TargetExchange exchange)
            throws IOException {
        org.eclipse.jetty.client.Response response;
        try {
            response = exchange.awaitResponse(() -> shouldAbandon(target, retries));
        } catch (TargetExchange.TargetRequestException e) {
            handleFailure(target, e);
            return false;
        }
        responseBegun = true;
        target.load().firstByteReceived(choice.sentRequest());
        TargetResponseMetadata metadata =
                context.headerCodec().readResponseHeaders(lastTarget, response.getStatus(), response.getHeaders());
        String model = caller.metadata().model();
        Long weightsVersion = metadata.weightsVersion();
        boolean ownResponse = requestId().equals(metadata.requestId());
        if (ownResponse && model != null && weightsVersion != null && !metadata.targetMismatch()) {
            target.load().recordWeights(model, weightsVersion);
        }
        context.targetSignals().record(target, metadata.signals(), requestId());
        if (metadata.isRefusal() && ownResponse && response.getStatus() >= CLIENT_ERROR_STATUS) {
            crashes.recordOutcomeKnown();
            history.recordRejected();
            if (metadata.weightsMismatch() && weightsVersion != null) {
                history.permitAgain(lastTarget);
            }
            recordFailure(
                    metadata.targetMismatch()
                            ? "other_target"
                            : metadata.weightsMismatch() ? "other_weights" : "not_run",
                    "status " + response.getStatus());
            if (metadata.notRun()) {
                target.load().markOverloaded(TARGET_OVERLOADED_BACKOFF);
            }
            return false;
        }
        history.recordPossiblyExecuted();
        if (ownResponse && model != null && weightsVersion != null) {
            recordWeights(model, weightsVersion);
        }
        if (ownResponse) {
            crashes.recordResponse(target, exchange.connection());
        }
        boolean misplaced = !ownResponse && (metadata.requestId() != null || metadata.isRefusal());
        boolean unsigned = response.getStatus() < CLIENT_ERROR_STATUS && !metadata.signed();
        if (misplaced || unsigned) {
            recordFailure(
                    misplaced ? "misplaced_answer" : "bad_answer",
                    misplaced
                            ? "the response has status " + response.getStatus() + " and the id of request "
                                    + metadata.requestId()
                            : "the response is not signed");
            if (misplaced) {
                exchange.closeConnection();
            }
            target.load().requestFailed();
            return false;
        }
        if (HttpStatus.isSuccess(response.getStatus())) {
            choice.recordResponse(Duration.ofNanos(context.clock().nanos() - sentNanos));
        } else {
            crashes.recordOutcomeKnown();
        }
        if (response.getStatus() >= SERVER_ERROR_STATUS) {
            target.load().requestFailed();
            if (route.kind() == RouteKind.IDEMPOTENT
                    && retries.mayRepeat()
                    && context.limits().tryAcquireRetry(caller.pool().name())) {
                retryReserved = true;
                recordFailure("error", "status " + response.getStatus());
                return false;
            }
        }
        PromptCachePlan usedCache = cache;
        if (usedCache != null) {
            context.engineCacheIndex()
                    .recordCached(
                            lastTarget, usedCache.domain(), caller.metadata().sharedPartIds());
        }
        return forwardResponse(target, route, exchange, response);
    }

    /** Records how long the weights with which a response begins have been replaced. */
    private void recordWeights(String model, long weightsVersion) {
        DesiredWeights desired = context.operatorState().weights().get(model);
        OptionalLong superseded = desired == null ? OptionalLong.empty() : desired.supersededNanos(weightsVersion);
        if (superseded.isEmpty()) {
            return;
        }
        Duration staleness = Duration.ofNanos(context.clock().nanos() - superseded.getAsLong());
        context.metrics().replacedWeights(staleness.toMillis() / 1_000.0);
        if (staleness.compareTo(context.maxWeightsStaleness()) > 0) {
            context.decisionLog()
                    .write(
                            "replaced_weights",
                            requestId(),
                            "target",
                            lastTarget,
                            "weights",
                            weightsVersion,
                            "replaced_ms",
                            staleness.toMillis(),
                            "ms_since_send",
                            TimeUnit.NANOSECONDS.toMillis(context.clock().nanos() - sentNanos),
                            "configuration_age_ms",
                            context.operatorState().age().toMillis());
        }
    }

    private boolean shouldAbandon(LiveTarget target, RetryDecision retries) {
        return retries.mayAbandon(
                        target.load().isUsable(),
                        Duration.ofNanos(context.clock().nanos() - sentNanos))
                && context.limits().tryAcquireRetry(caller.pool().name());
    }

    private void handleFailure(LiveTarget target, TargetExchange.TargetRequestException failure) throws IOException {
        boolean connectionLost = !failure.isTimeout() && !failure.isAbandoned() && !hasAborted();
        if (failure.isRequestSent() && (connectionLost || target.load().isStalled())) {
            crashes.recordCrash(target);
        } else if (!failure.isRequestSent()) {
            crashes.recordOutcomeKnown();
            if (failure.getCause() instanceof ConnectException) {
                crashes.recordCrashOfUnresolved(target);
            }
        }
        if (isCallerDisconnected()) {
            target.load().requestAbandoned();
            throw new CallerDisconnectedException();
        }
        if (failure.isRequestSent()) {
            retryReserved = failure.isAbandoned();
            history.recordPossiblyExecuted();
        } else {
            history.recordRejected();
        }
        recordFailure(
                failure.isTimeout() ? "timeout" : failure.isRequestSent() ? "unknown" : "not_connected",
                String.valueOf(failure.getMessage()));
        if (isShuttingDown()) {
            throw noResponse(ErrorCode.DRAINING, SHUTTING_DOWN, DRAINING_RETRY_DELAY);
        }
        target.load().requestFailed();
        if (failure.isTimeout()) {
            throw noResponse(ErrorCode.DEADLINE_EXCEEDED, "The target " + lastTarget + " did not respond in time.");
        }
    }

    private void recordFailure(String outcome, String reason) {
        lastFailureReason = reason;
        context.metrics().attempt(outcome);
        context.decisionLog()
                .write(
                        "attempt_" + outcome,
                        requestId(),
                        "fingerprint",
                        Long.toHexString(caller.fingerprint()),
                        "target",
                        lastTarget,
                        "target_born_ms",
                        lastTargetBornMillis,
                        "reason",
                        reason,
                        "send",
                        history.sends(),
                        "connection",
                        lastConnection(),
                        "ms_since_send",
                        TimeUnit.NANOSECONDS.toMillis(context.clock().nanos() - sentNanos),
                        "ms",
                        elapsedMillis(),
                        "configuration_age_ms",
                        context.operatorState().age().toMillis());
    }

    /** Returns the local port of the connection of the current send, which identifies it in the log of a target too. */
    private synchronized String lastConnection() {
        TargetExchange sent = exchange;
        return sent == null ? "none" : sent.localPort();
    }

    private boolean forwardResponse(
            LiveTarget target, RelayRoute route, TargetExchange exchange, org.eclipse.jetty.client.Response response)
            throws IOException {
        ResponseBody body = exchange.responseBody(response);
        byte[] buffer = new byte[READ_BUFFER_BYTES];
        byte[] firstBytes;
        boolean whole = false;
        try {
            if (route.kind() == RouteKind.STREAM) {
                firstBytes = readFirstChunk(body, buffer);
                if (HttpStatus.isSuccess(response.getStatus())) {
                    choice.recordFirstEvent(Duration.ofNanos(context.clock().nanos() - sentNanos));
                }
            } else {
                BodyBuffer buffered = new BodyBuffer(caller.memory());
                whole = buffered.readToEnd(body, MAX_BUFFERED_RESPONSE_BYTES);
                firstBytes = buffered.toByteArray();
            }
        } catch (IOException e) {
            handleBodyFailure(target, exchange, e);
            return false;
        }
        beginResponse(response, body, whole);
        if (whole) {
            writer.setLastChunk(firstBytes);
        } else {
            copyStream(firstBytes, body, buffer, target, exchange);
        }
        context.metrics().responseEnd(body.framing().label());
        if (body.framing().marksEnd()) {
            recordCompletion(target, response.getStatus(), body);
        } else {
            recordOpenEnd(target, body);
        }
        return true;
    }

    private void recordCompletion(LiveTarget target, int status, ResponseBody body) {
        crashes.recordOutcomeKnown();
        target.load().requestSucceeded();
        context.metrics().attempt("ok");
        if (HttpStatus.isSuccess(status)) {
            crashes.recordCompletion(target, body.size());
        }
    }

    /** Records the end of a response that may be complete, or cut off by a crash of the target. */
    private void recordOpenEnd(LiveTarget target, ResponseBody body) {
        target.load().bytesReceived();
        context.metrics().attempt("open_end");
        context.decisionLog()
                .write(
                        "unframed_answer",
                        requestId(),
                        "target",
                        lastTarget,
                        "target_born_ms",
                        lastTargetBornMillis,
                        "bytes",
                        body.size(),
                        "ms",
                        elapsedMillis());
    }

    private static byte[] readFirstChunk(InputStream body, byte[] buffer) throws IOException {
        int read = body.read(buffer);
        return read < 0 ? new byte[0] : java.util.Arrays.copyOf(buffer, read);
    }

    private void handleBodyFailure(LiveTarget target, TargetExchange failed, IOException failure) throws IOException {
        if (isCallerDisconnected()) {
            throw failure;
        }
        if (isShuttingDown()) {
            throw noResponse(ErrorCode.DRAINING, SHUTTING_DOWN, DRAINING_RETRY_DELAY);
        }
        if (!failed.isTimeout() || target.load().isStalled()) {
            crashes.recordCrash(target);
        }
        recordFailure("broken", String.valueOf(failure.getMessage()));
        target.load().requestFailed();
        if (failed.isTimeout()) {
            throw noResponse(
                    ErrorCode.DEADLINE_EXCEEDED,
                    "The target " + lastTarget + " did not complete its response in time.");
        }
    }

    private void beginResponse(org.eclipse.jetty.client.Response response, ResponseBody body, boolean whole) {
        int status = response.getStatus();
        if (NOT_EXECUTED_STATUSES.contains(status)) {
            throw new ShuntException(
                    ErrorCode.TARGET_FAILED,
                    Step.FORWARD,
                    lastTarget,
                    Outcome.UNKNOWN,
                    "The target responded with status " + status + " but may have run the request.");
        }
        boolean streamed = !whole && body.framing() != ResponseFraming.NO_BODY;
        writer.copyHead(response, streamed || body.isEventStream());
        if (!body.framing().marksEnd()) {
            writer.leaveEndOpen();
        }
        if (context.drainState().isDraining()) {
            writer.closeConnection();
        }
        recordFirstByte(caller.route());
        if (status >= SERVER_ERROR_STATUS) {
            result = "target_error";
        }
    }

    private void recordFirstByte(RelayRoute route) {
        long millis = elapsedMillis();
        context.metrics().firstByte(route.kind().name().toLowerCase(Locale.ROOT), millis / 1_000.0);
        if (millis > route.objective().toMillis()) {
            context.decisionLog()
                    .write(
                            "late_answer",
                            requestId(),
                            "route",
                            route.name(),
                            "target",
                            lastTarget,
                            "tokens",
                            caller.metadata().totalTokens(),
                            "ran",
                            history.possiblyExecuted(),
                            "refused_sends",
                            history.rejected(),
                            "ms_to_send",
                            TimeUnit.NANOSECONDS.toMillis(sentNanos - receivedNanos),
                            "ms",
                            millis);
        }
    }

    /** Forwards chunks as they arrive. A failure leaves the response incomplete, so that the caller detects it. */
    private void copyStream(
            byte[] firstBytes, InputStream body, byte[] buffer, LiveTarget target, TargetExchange copied)
            throws IOException {
        writer.beginStream();
        writer.write(ByteBuffer.wrap(firstBytes));
        Deadline writingProof = Deadline.after(context.clock(), WRITING_PROOF_TIME);
        boolean writing = false;
        while (true) {
            int read;
            try {
                read = body.read(buffer);
            } catch (IOException e) {
                lastFailureReason = String.valueOf(e.getMessage());
                if (!hasAborted()) {
                    if (!copied.isTimeout() || target.load().isStalled()) {
                        crashes.recordCrash(target);
                    }
                    target.load().requestFailed();
                    context.decisionLog()
                            .write(
                                    "stream_broken",
                                    requestId(),
                                    "fingerprint",
                                    Long.toHexString(caller.fingerprint()),
                                    "target",
                                    lastTarget,
                                    "target_born_ms",
                                    lastTargetBornMillis,
                                    "reason",
                                    lastFailureReason,
                                    "ms",
                                    elapsedMillis());
                }
                throw e;
            }
            if (read < 0) {
                return;
            }
            target.load().bytesReceived();
            if (!writing && writingProof.hasPassed(context.clock())) {
                writing = true;
                crashes.recordWriting();
            }
            writer.write(ByteBuffer.wrap(buffer, 0, read));
        }
    }

    /** Writes the last chunk of the response and completes it. */
    void completeResponse(Callback callback) {
        writer.complete(callback);
    }

    /** Completes the response and closes the caller's connection. */
    void completeResponseAndClose(EndPoint connection, Callback callback) {
        writer.completeAndClose(connection, callback);
    }

    /** Ends a response that cannot be completed. */
    void abortResponse(Callback callback, Throwable cause) {
        writer.abort(callback, cause);
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(context.clock().nanos() - receivedNanos);
    }

    /** Gives back the memory of the bodies, which are no longer needed. */
    void releaseMemory() {
        caller.releaseMemory();
    }

    /** Updates the metrics for the outcome of the request, and logs it unless it succeeded. */
    void recordOutcome() {
        RelayRoute route = caller.routeIfKnown();
        String kind = route == null ? "none" : route.kind().name().toLowerCase(Locale.ROOT);
        RelayWorkspace workspace = caller.workspace();
        context.metrics().request(kind, result);
        if ("ok".equals(result)) {
            return;
        }
        context.decisionLog()
                .write(
                        "ended_" + result,
                        requestId(),
                        "route",
                        route == null ? "none" : route.name(),
                        "workspace",
                        workspace == null ? "none" : workspace.name(),
                        "tokens",
                        caller.metadata().totalTokens(),
                        "target",
                        lastTarget,
                        "reason",
                        lastFailureReason,
                        "sends",
                        history.sends(),
                        "ran",
                        history.possiblyExecuted(),
                        "ms",
                        elapsedMillis(),
                        "configuration",
                        context.operatorState()
                                .configuration()
                                .map(RelayConfiguration::version)
                                .orElse(-1L),
                        "configuration_age_ms",
                        context.operatorState().age().toMillis());
    }
}
