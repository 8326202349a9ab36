package dev.bluebellshunt.router.proxy;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.core.error.ErrorBody;
import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.model.ModelSpec;
import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.retry.PromptPartSuspects;
import dev.bluebellshunt.core.routing.Choice;
import dev.bluebellshunt.core.routing.HashRing;
import dev.bluebellshunt.core.routing.PrefixChain;
import dev.bluebellshunt.core.stream.EventStreamReader;
import dev.bluebellshunt.core.stream.StreamEvent;
import dev.bluebellshunt.core.stream.StreamProgress;
import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.router.telemetry.Tracing;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves one completion request: applies the rate limit, tries engines one after another, and joins
 * their output into one response. The response is complete and in order, or ends with a visible error.
 *
 * <p>Not thread-safe; an instance is confined to one thread.
 */
public final class CompletionCall {

    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
    private static final int FIRST_ERROR_STATUS = 400;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final Logger log = LoggerFactory.getLogger("proxy");

    private final ProxySupport support;
    private final CallContext context;
    private final Workspace workspace;
    private final CompletionRequest request;
    private final String path;
    private final CallerResponse callerResponse;
    private final ModelSpec model;
    private final PrefixChain prefixChain;
    private final long fingerprint;
    private final StreamProgress progress = new StreamProgress();
    private final Set<String> excludedTargets = new HashSet<>();
    private final Attempts attempts = new Attempts();
    private @Nullable String pinnedWeightsVersion;
    private long bufferedResponseTokens;

    /** Whether the response shows that a target ran the request to its end. */
    private boolean ranToItsEnd;

    private int priority;

    /**
     * Creates a call.
     *
     * @param support the components shared by all calls
     * @param context the context of the request
     * @param workspace the workspace of the caller
     * @param request the request to serve
     * @param path the path of the request on the engines
     * @param callerResponse the response to the caller
     * @throws ShuntException if the requested model is not configured
     */
    public CompletionCall(
            ProxySupport support,
            CallContext context,
            Workspace workspace,
            CompletionRequest request,
            String path,
            CallerResponse callerResponse) {
        this.support = support;
        this.context = context;
        this.workspace = workspace;
        this.request = request;
        this.path = path;
        this.callerResponse = callerResponse;
        ModelSpec configured = context.snapshot().configuration().models().get(request.model());
        if (configured == null) {
            throw ShuntException.notRun(ErrorCode.UNKNOWN_MODEL, Step.ROUTE, "The requested model does not exist.");
        }
        this.model = configured;
        long namespace = PrefixChain.namespace(workspace.name(), model.name(), model.weightsVersion());
        this.prefixChain = PrefixChain.of(namespace, request.prompt());
        this.fingerprint = Hashing.komihash5_0()
                .hashStream()
                .putLong(namespace)
                .putLong(Hashing.komihash5_0().hashBytesToLong(request.body()))
                .getAsLong();
    }

    /**
     * Serves the request.
     *
     * @throws ShuntException if the request fails; if the response has started, the caller has been sent an
     *     error event
     * @throws IOException if the caller has disconnected
     */
    public void run() throws IOException {
        if (isQuarantined()) {
            throw ProxySupport.quarantined();
        }
        long reservedTokens = prefixChain.tokens() + request.maxTokens();
        support.limiter().admit(workspace, reservedTokens);
        priority = support.priority().recordRequest(workspace, prefixChain.tokens());
        long usedTokens = 0;
        try {
            tryTargetsUntilComplete();
            usedTokens = Math.min(reservedTokens, prefixChain.tokens() + generatedTokens());
        } catch (ShuntException | IOException e) {
            usedTokens =
                    generatedTokens() == 0 ? 0 : Math.min(reservedTokens, prefixChain.tokens() + generatedTokens());
            throw e;
        } finally {
            support.limiter().refund(workspace, reservedTokens - usedTokens);
            recordUsage(usedTokens);
        }
    }

    private void recordUsage(long usedTokens) {
        if (usedTokens > 0) {
            support.usage().charge(workspace.name(), prefixChain.tokens(), generatedTokens());
            support.metrics().recordTokens(workspace.name(), "prompt", prefixChain.tokens());
            support.metrics().recordTokens(workspace.name(), "generated", generatedTokens());
        }
    }

    private long generatedTokens() {
        return request.stream() ? progress.delivered() : bufferedResponseTokens;
    }

    private void tryTargetsUntilComplete() throws IOException {
        support.retryBudget(context).recordFirstTry();
        for (int attempt = 1; ; attempt++) {
            ShuntException failure = tryTarget(selectTarget());
            if (failure == null) {
                return;
            }
            boolean suspect = ProxySupport.isCrash(failure) && promptParts().isSuspect(request.promptParts());
            if (suspect || !progress.canResume() || !support.tryAcquireRetry(context, failure)) {
                throw endBrokenResponse(failure);
            }
            if (isQuarantined()) {
                throw endBrokenResponse(ProxySupport.quarantined());
            }
            support.sleepBeforeRetry(attempt, context.deadline());
        }
    }

    /** Whether several engines crashed while running this request, or others with a part of its prompt. */
    private boolean isQuarantined() {
        return support.isQuarantined(fingerprint)
                || !promptParts().acquireRun(request.promptParts()).isZero();
    }

    private PromptPartSuspects promptParts() {
        return support.crashSuspects().promptParts();
    }

    private Choice selectTarget() throws IOException {
        excludedTargets.addAll(support.crashSuspects().crashedTargets(fingerprint));
        HashRing engines = context.targets().get().engines(model.name());
        Optional<Choice> choice = support.selector().select(engines, prefixChain, excludedTargets);
        if (choice.isEmpty()) {
            throw endBrokenResponse(support.noTargetAvailable(model.name(), engines));
        }
        return choice.get();
    }

    /** Sends the request to one engine. Returns null on success, otherwise the failure. */
    private @Nullable ShuntException tryTarget(Choice choice) throws IOException {
        TargetView target = choice.target();
        Tracing.TraceSpan span =
                support.tracing().startClientSpan("engine", context.span()).setAttribute("target", target.name());
        String result = "caller_gone";
        support.runningRequests().add(target.name(), fingerprint);
        long sentNanos = support.clock().nanos();
        target.runtimeState().requestStarted(choice.prefillTokens());
        try {
            ShuntException failure = sendAndForward(choice, span);
            result = failure == null ? "ok" : failure.code().wireName();
            if (failure != null) {
                recordFailure(target, failure);
            } else if (ranToItsEnd) {
                support.crashSuspects().recordCompletion(fingerprint);
                if (generatedTokens() > 0) {
                    promptParts().recordCompletion(request.promptParts(), model.name(), fingerprint, sentNanos);
                }
            }
            return failure;
        } finally {
            target.runtimeState().requestCompleted();
            support.runningRequests().remove(target.name(), fingerprint);
            support.metrics().recordAttempt(target.name(), result);
            span.end(result);
        }
    }

    private @Nullable ShuntException sendAndForward(Choice choice, Tracing.TraceSpan span) throws IOException {
        TargetView target = choice.target();
        TargetResponse received;
        try {
            received = support.send(target, buildTargetRequest(span));
        } catch (ShuntException e) {
            return e;
        } finally {
            target.runtimeState().prefillCompleted(choice.prefillTokens());
        }
        try (TargetResponse response = received) {
            return forwardResponse(target, response);
        }
    }

    private void recordFailure(TargetView target, ShuntException failure) {
        attempts.recordFailure(failure);
        excludedTargets.add(target.name());
        support.recordIfCrash(target, failure, support.runningRequests().runningOn(target.name()));
        if (ProxySupport.isCrash(failure)) {
            promptParts()
                    .recordCrash(
                            target.name() + "@" + target.incarnation(),
                            request.promptParts(),
                            model.name(),
                            fingerprint);
        }
        if (failure.step() == Step.CONNECT || ProxySupport.isCrash(failure)) {
            support.markSuspect(target);
        }
        log.warn("Attempt failed at step {} on target {}", failure.step().wireName(), failure.peer());
    }

    private TargetRequest buildTargetRequest(Tracing.TraceSpan span) {
        HttpFields.Mutable headers = HttpFields.build()
                .put(HttpHeader.CONTENT_TYPE, "application/json")
                .put(TargetHeaders.REQUEST_ID, context.requestId())
                .put(TargetHeaders.CACHE_NAMESPACE, Long.toHexString(prefixChain.hash(0)))
                .put(TargetHeaders.WEIGHTS_VERSION, model.weightsVersion())
                .put(
                        TargetHeaders.REMAINING_MS,
                        Long.toString(
                                context.deadline().remaining(support.clock()).toMillis()));
        headers.put(TargetHeaders.PRIORITY, Integer.toString(priority));
        if (progress.delivered() > 0) {
            headers.put(TargetHeaders.LAST_EVENT_ID, Long.toString(progress.delivered()));
        }
        support.tracing().inject(span, headers);
        return new TargetRequest("POST", path, headers, request.body(), false, context.deadline());
    }

    private @Nullable ShuntException forwardResponse(TargetView target, TargetResponse response) throws IOException {
        ShuntException rejection = checkResponse(target, response);
        if (rejection != null) {
            return rejection;
        }
        if (response.status() >= FIRST_ERROR_STATUS) {
            return forwardBuffered(target, response);
        }
        recordCachedTokens(target, response);
        return request.stream() ? forwardStream(target, response) : forwardBuffered(target, response);
    }

    /**
     * Returns a failure for a response that must not reach the caller: it belongs to a different request, or
     * another engine may still serve the request. Returns null for any other response.
     */
    private @Nullable ShuntException checkResponse(TargetView target, TargetResponse response) {
        String responseId = response.headers().get(TargetHeaders.REQUEST_ID);
        if (responseId != null && !responseId.equals(context.requestId())) {
            return targetFailure(target, Outcome.UNKNOWN, "returned the response of a different request", null);
        }
        if (responseId != null && TargetHeaders.isNotRun(response)) {
            return targetFailure(target, Outcome.NOT_RUN, "rejected the request without running it", null);
        }
        if (response.status() >= FIRST_SERVER_ERROR_STATUS || TargetHeaders.promisesNotRun(response.status())) {
            return targetFailure(target, Outcome.UNKNOWN, "responded with status " + response.status(), null);
        }
        if (response.status() >= FIRST_ERROR_STATUS) {
            return callerResponse.isStarted()
                    ? targetFailure(
                            target,
                            Outcome.UNKNOWN,
                            "did not resume, but responded with status " + response.status(),
                            null)
                    : null;
        }
        String actualVersion = response.headers().get(TargetHeaders.WEIGHTS_VERSION);
        String expectedVersion = pinnedWeightsVersion == null ? model.weightsVersion() : pinnedWeightsVersion;
        if (actualVersion != null && !actualVersion.equals(expectedVersion)) {
            return targetFailure(target, Outcome.UNKNOWN, "has a different weights version", null);
        }
        pinnedWeightsVersion = expectedVersion;
        return null;
    }

    private void recordCachedTokens(TargetView target, TargetResponse response) {
        long cachedTokens = response.headers().getLongField(TargetHeaders.CACHED_TOKENS);
        support.metrics().recordTokens(workspace.name(), "cached", cachedTokens);
        support.selector().prefillCompleted(target, prefixChain);
    }

    private @Nullable ShuntException forwardStream(TargetView target, TargetResponse response) throws IOException {
        EventStreamReader events = new EventStreamReader(response.body());
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        while (true) {
            StreamEvent event;
            try {
                event = events.next();
            } catch (IOException e) {
                writeBatch(batch, false);
                return streamFailure(target, e);
            }
            StreamProgress.EventAction action =
                    event == null ? StreamProgress.EventAction.OUT_OF_ORDER : progress.accept(event);
            if (event == null || action == StreamProgress.EventAction.OUT_OF_ORDER) {
                writeBatch(batch, false);
                return streamFailure(target, null);
            }
            if (action == StreamProgress.EventAction.DUPLICATE) {
                continue;
            }
            batch.writeBytes(event.toBytes());
            if (action == StreamProgress.EventAction.END) {
                ranToItsEnd = true;
                writeBatch(batch, true);
                return null;
            }
            if (!events.hasBuffered()) {
                writeBatch(batch, false);
            }
        }
    }

    private void writeBatch(ByteArrayOutputStream batch, boolean last) throws IOException {
        if (batch.size() == 0) {
            return;
        }
        if (!callerResponse.isStarted()) {
            double seconds = (support.clock().nanos() - context.arrivalNanos()) / NANOS_PER_SECOND;
            support.metrics().recordTimeToFirstToken(workspace.name(), seconds);
            callerResponse.start(
                    200,
                    HttpFields.build()
                            .put(HttpHeader.CONTENT_TYPE, "text/event-stream")
                            .put(HttpHeader.CACHE_CONTROL, "no-store"));
        }
        callerResponse.write(batch.toByteArray(), last);
        batch.reset();
    }

    /** Reads the response to its end, then forwards it to the caller. */
    private @Nullable ShuntException forwardBuffered(TargetView target, TargetResponse response) throws IOException {
        byte[] body;
        try {
            body = response.body().readNBytes(MAX_RESPONSE_BYTES + 1);
        } catch (IOException e) {
            return streamFailure(target, e);
        }
        if (body.length > MAX_RESPONSE_BYTES) {
            return targetFailure(target, Outcome.UNKNOWN, "sent a response that exceeds the size limit", null);
        }
        if (response.status() < FIRST_ERROR_STATUS) {
            bufferedResponseTokens = CompletionUsage.completionTokens(body);
            ranToItsEnd = response.marksEnd();
        }
        String contentType = response.headers().get(HttpHeader.CONTENT_TYPE);
        HttpFields headers =
                HttpFields.build().put(HttpHeader.CONTENT_TYPE, contentType == null ? "application/json" : contentType);
        if (response.marksEnd()) {
            callerResponse.start(response.status(), headers);
        } else {
            callerResponse.startOpenEnded(response.status(), headers);
        }
        callerResponse.write(body, true);
        return null;
    }

    private static ShuntException streamFailure(TargetView target, @Nullable Throwable cause) {
        return new ShuntException(
                ErrorCode.STREAM_BROKEN,
                Step.STREAM,
                target.name(),
                Outcome.UNKNOWN,
                "The response from " + target.name() + " ended before it was complete.",
                null,
                cause);
    }

    private static ShuntException targetFailure(
            TargetView target, Outcome outcome, String problem, @Nullable Throwable cause) {
        return new ShuntException(
                ErrorCode.TARGET_FAILED,
                Step.FORWARD,
                target.name(),
                outcome,
                "The target " + target.name() + " " + problem + ".",
                null,
                cause);
    }

    /** Ends a response that has started with an error event, so that the caller can't mistake it for a complete one. */
    private ShuntException endBrokenResponse(ShuntException lastFailure) throws IOException {
        ShuntException failure = attempts.toReport(lastFailure);
        if (callerResponse.isStarted()) {
            callerResponse.write(ErrorBody.event(failure, context.requestId()), true);
        }
        return failure;
    }
}
