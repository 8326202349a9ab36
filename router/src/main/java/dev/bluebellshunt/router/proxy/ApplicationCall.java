package dev.bluebellshunt.router.proxy;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.once.BeginResult;
import dev.bluebellshunt.core.once.OnceLedger;
import dev.bluebellshunt.core.once.OnceResult;
import dev.bluebellshunt.core.routing.HashRing;
import dev.bluebellshunt.core.routing.PrefixChain;
import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.router.telemetry.Tracing;
import java.io.IOException;
import java.time.Duration;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves one request to an application.
 *
 * <p>An idempotent request is retried while the retry budget and the deadline allow. Any other request
 * runs at most once: the ledger permits a single attempt, which is sent to another target only if the
 * previous target is known not to have started it.
 *
 * <p>Not thread-safe; an instance is confined to one thread.
 */
public final class ApplicationCall {

    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
    private static final int MAX_STORED_BODY_BYTES = 64 * 1024;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final Duration IN_PROGRESS_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Logger log = LoggerFactory.getLogger("proxy");

    private final ProxySupport support;
    private final CallContext context;
    private final ApplicationRequest request;
    private final CallerResponse callerResponse;
    private final PrefixChain routingKey;
    private final long fingerprint;
    private final Set<String> excludedTargets = new HashSet<>();
    private final Attempts attempts = new Attempts();
    private boolean responseReceived;

    /**
     * Creates a call.
     *
     * @param support the components shared by all calls
     * @param context the context of the request
     * @param request the request to serve
     * @param callerResponse the response to the caller
     */
    public ApplicationCall(
            ProxySupport support, CallContext context, ApplicationRequest request, CallerResponse callerResponse) {
        this.support = support;
        this.context = context;
        this.request = request;
        this.callerResponse = callerResponse;
        this.routingKey = PrefixChain.ofHashes(support.random().nextLong(), new long[0], 0);
        this.fingerprint = Hashing.komihash5_0()
                .hashStream()
                .putString(context.workspaceName())
                .putString(request.route().name())
                .putString(request.method())
                .putString(request.pathAndQuery())
                .putByteArray(request.body())
                .getAsLong();
    }

    /**
     * Serves the request.
     *
     * @throws ShuntException if the request fails
     * @throws IOException if the caller has disconnected
     */
    public void run() throws IOException {
        if (!request.route().idempotent() && request.idempotencyKey() == null) {
            throw ShuntException.notRun(
                    ErrorCode.IDEMPOTENCY_KEY_REQUIRED,
                    Step.PARSE,
                    "This route requires an Idempotency-Key header to detect duplicate requests.");
        }
        if (support.isQuarantined(fingerprint)) {
            throw ProxySupport.quarantined();
        }
        long cost = request.route().cost();
        Workspace workspace = context.workspace();
        if (workspace != null) {
            support.limiter().admit(workspace, cost);
        }
        try {
            if (request.route().idempotent()) {
                executeIdempotent();
            } else {
                executeAtMostOnce();
            }
        } finally {
            if (workspace != null && !responseReceived) {
                support.limiter().refund(workspace, cost);
            }
            if (workspace != null && responseReceived) {
                support.usage().charge(workspace.name(), 0, 0);
            }
        }
    }

    private void executeIdempotent() throws IOException {
        support.retryBudget(context).recordFirstTry();
        for (int attempt = 1; ; attempt++) {
            switch (tryTarget(selectTarget())) {
                case AttemptResult.Completed completed -> {
                    sendToCaller(completed.response());
                    return;
                }
                case AttemptResult.Failed failed -> {
                    if (!support.tryAcquireRetry(context, failed.failure())) {
                        throw attempts.toReport(failed.failure());
                    }
                    if (support.isQuarantined(fingerprint)) {
                        throw ProxySupport.quarantined();
                    }
                    support.sleepBeforeRetry(attempt, context.deadline());
                }
            }
        }
    }

    private void executeAtMostOnce() throws IOException {
        String key = OnceLedger.key(
                context.workspaceName(), request.route().name(), String.valueOf(request.idempotencyKey()));
        switch (support.ledger().begin(key, bodyDigest())) {
            case BeginResult.Claimed fresh -> sendAtMostOnce(fresh.attempt());
            case BeginResult.AlreadyFinished finished -> replayResult(finished.result());
            case BeginResult.InProgress ignored -> throw inProgress();
            case BeginResult.UnknownOutcome ignored -> throw unknownOutcome();
            case BeginResult.BodyMismatch ignored ->
                throw ShuntException.notRun(
                        ErrorCode.IDEMPOTENCY_KEY_REUSED,
                        Step.ONCE_LEDGER,
                        "The idempotency key was already used for a different request.");
        }
    }

    private static ShuntException inProgress() {
        return new ShuntException(
                ErrorCode.IDEMPOTENCY_KEY_IN_USE,
                Step.ONCE_LEDGER,
                "self",
                Outcome.UNKNOWN,
                "A request with this idempotency key is in progress.",
                IN_PROGRESS_RETRY_AFTER,
                null);
    }

    private static ShuntException unknownOutcome() {
        return new ShuntException(
                ErrorCode.TARGET_FAILED,
                Step.ONCE_LEDGER,
                "self",
                Outcome.UNKNOWN,
                "The request may already have run; its outcome is unknown and it will not be run again.");
    }

    private void sendAtMostOnce(BeginResult.Attempt ledgerAttempt) throws IOException {
        support.retryBudget(context).recordFirstTry();
        for (int attempt = 1; ; attempt++) {
            switch (tryTarget(selectTargetOrRelease(ledgerAttempt))) {
                case AttemptResult.Completed completed -> {
                    support.ledger().finish(ledgerAttempt, toStoredResult(completed.response()));
                    sendToCaller(completed.response());
                    return;
                }
                case AttemptResult.Failed failed -> {
                    throwUnlessRetryable(ledgerAttempt, failed.failure());
                    support.sleepBeforeRetry(attempt, context.deadline());
                }
            }
        }
    }

    private TargetView selectTargetOrRelease(BeginResult.Attempt ledgerAttempt) {
        try {
            return selectTarget();
        } catch (ShuntException e) {
            support.ledger().release(ledgerAttempt);
            throw e;
        }
    }

    /** Returns normally only if the request may be sent to another target. */
    private void throwUnlessRetryable(BeginResult.Attempt ledgerAttempt, ShuntException failure) {
        if (failure.outcome() != Outcome.NOT_RUN) {
            support.ledger().markOutcomeUnknown(ledgerAttempt);
            throw failure;
        }
        if (!support.tryAcquireRetry(context, failure)) {
            support.ledger().release(ledgerAttempt);
            throw failure;
        }
    }

    private TargetView selectTarget() {
        String service = request.route().service();
        excludedTargets.addAll(support.crashSuspects().crashedTargets(fingerprint));
        HashRing applications = context.targets().get().applications(service);
        return support.selector()
                .select(applications, routingKey, excludedTargets)
                .orElseThrow(() -> attempts.toReport(support.noTargetAvailable(service, applications)))
                .target();
    }

    private AttemptResult tryTarget(TargetView target) {
        Tracing.TraceSpan span =
                support.tracing().startClientSpan("application", context.span()).setAttribute("target", target.name());
        target.runtimeState().requestStarted(0);
        String result = "internal";
        try (TargetResponse response = support.send(target, buildTargetRequest(span))) {
            AttemptResult attemptResult = readResponse(target, response);
            result = attemptResult.metricLabel();
            return attemptResult;
        } catch (ShuntException e) {
            result = e.code().wireName();
            return recordFailure(target, e);
        } finally {
            target.runtimeState().requestCompleted();
            support.metrics().recordAttempt(target.name(), result);
            span.end(result);
        }
    }

    private AttemptResult readResponse(TargetView target, TargetResponse response) {
        String responseId = response.headers().get(TargetHeaders.REQUEST_ID);
        if (responseId != null && !responseId.equals(context.requestId())) {
            return recordFailure(
                    target,
                    targetFailure(target, Outcome.UNKNOWN, "returned the response of a different request", null));
        }
        boolean ownConnection = !request.route().idempotent();
        if (TargetHeaders.isNotRun(response) && (responseId != null || ownConnection)) {
            return recordFailure(
                    target, targetFailure(target, Outcome.NOT_RUN, "rejected the request without running it", null));
        }
        if (response.status() >= FIRST_SERVER_ERROR_STATUS && request.route().idempotent()) {
            return recordFailure(
                    target, targetFailure(target, Outcome.UNKNOWN, "responded with status " + response.status(), null));
        }
        try {
            byte[] body = response.body().readNBytes(MAX_RESPONSE_BYTES + 1);
            if (body.length > MAX_RESPONSE_BYTES) {
                return recordFailure(
                        target,
                        targetFailure(target, Outcome.UNKNOWN, "sent a response that exceeds the size limit", null));
            }
            String contentType = response.headers().get(HttpHeader.CONTENT_TYPE);
            responseReceived = true;
            if (HttpStatus.isSuccess(response.status()) && response.marksEnd()) {
                support.crashSuspects().recordCompletion(fingerprint);
            }
            return new AttemptResult.Completed(new BufferedResponse(
                    response.status(),
                    contentType == null ? "application/octet-stream" : contentType,
                    body,
                    !response.marksEnd()));
        } catch (IOException e) {
            return recordFailure(target, targetFailure(target, Outcome.UNKNOWN, "did not complete its response", e));
        }
    }

    private AttemptResult recordFailure(TargetView target, ShuntException failure) {
        attempts.recordFailure(failure);
        excludedTargets.add(target.name());
        support.recordIfCrash(target, failure, List.of(fingerprint));
        if (failure.step() == Step.CONNECT || failure.getCause() instanceof IOException) {
            support.markSuspect(target);
        }
        log.warn("Attempt failed at step {} on target {}", failure.step().wireName(), failure.peer());
        return new AttemptResult.Failed(failure);
    }

    private TargetRequest buildTargetRequest(Tracing.TraceSpan span) {
        HttpFields.Mutable headers =
                HttpFields.build(request.headers()).put(TargetHeaders.REQUEST_ID, context.requestId());
        Workspace workspace = context.workspace();
        if (workspace != null) {
            headers.put("x-workspace", workspace.name());
        }
        support.tracing().inject(span, headers);
        return new TargetRequest(
                request.method(),
                request.pathAndQuery(),
                headers,
                request.body(),
                !request.route().idempotent(),
                context.deadline());
    }

    private void sendToCaller(BufferedResponse response) throws IOException {
        HttpFields headers = HttpFields.build().put(HttpHeader.CONTENT_TYPE, response.contentType());
        sendToCaller(response.status(), headers, response.body(), response.openEnded());
    }

    private void sendToCaller(int status, HttpFields headers, byte[] body, boolean openEnded) throws IOException {
        if (TargetHeaders.promisesNotRun(status)) {
            throw new ShuntException(
                    ErrorCode.TARGET_FAILED,
                    Step.FORWARD,
                    "self",
                    Outcome.UNKNOWN,
                    "The target responded with status " + status + " but may have run the request.");
        }
        if (openEnded) {
            callerResponse.startOpenEnded(status, headers);
        } else {
            callerResponse.start(status, headers);
        }
        callerResponse.write(body, true);
    }

    private void replayResult(OnceResult result) throws IOException {
        if (result.truncated()) {
            throw new ShuntException(
                    ErrorCode.IDEMPOTENCY_KEY_IN_USE,
                    Step.ONCE_LEDGER,
                    "self",
                    Outcome.UNKNOWN,
                    "The request completed with status " + result.status() + "; its response was too large to store.");
        }
        byte[] body = Base64.getDecoder().decode(result.bodyBase64());
        HttpFields headers = HttpFields.build()
                .put(HttpHeader.CONTENT_TYPE, result.contentType())
                .put("idempotent-replayed", "true");
        sendToCaller(result.status(), headers, body, result.openEnded());
    }

    private static OnceResult toStoredResult(BufferedResponse response) {
        boolean truncated = response.body().length > MAX_STORED_BODY_BYTES;
        String body = truncated ? "" : Base64.getEncoder().encodeToString(response.body());
        return new OnceResult(response.status(), response.contentType(), body, truncated, response.openEnded());
    }

    private String bodyDigest() {
        return Hashing.murmur3_128()
                .hashStream()
                .putString(request.method())
                .putString(request.pathAndQuery())
                .putByteArray(request.body())
                .get()
                .toString();
    }

    private static ShuntException targetFailure(
            TargetView target, Outcome outcome, String problem, @Nullable Throwable cause) {
        ErrorCode code = cause instanceof TimeoutException ? ErrorCode.DEADLINE_EXCEEDED : ErrorCode.TARGET_FAILED;
        return new ShuntException(
                code,
                Step.FORWARD,
                target.name(),
                outcome,
                "The target " + target.name() + " " + problem + ".",
                null,
                cause);
    }

    /** The result of sending the request to one target. */
    private sealed interface AttemptResult {

        /** The value of the result label in metrics. */
        String metricLabel();

        record Completed(BufferedResponse response) implements AttemptResult {
            @Override
            public String metricLabel() {
                return "ok";
            }
        }

        record Failed(ShuntException failure) implements AttemptResult {
            @Override
            public String metricLabel() {
                return failure.code().wireName();
            }
        }
    }

    @SuppressWarnings("ArrayRecordComponent") // instances are never compared
    private record BufferedResponse(int status, String contentType, byte[] body, boolean openEnded) {}
}
