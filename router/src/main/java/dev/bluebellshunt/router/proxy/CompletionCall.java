package dev.bluebellshunt.router.proxy;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.core.error.ErrorBody;
import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.model.ModelSpec;
import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.retry.CrashSuspects;
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
 * Serves one completion request: admits it, tries engines one after another, and joins their output
 * into one answer that is complete and in order, or visibly broken.
 *
 * <p>Used by one thread.
 */
public final class CompletionCall {

    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
    private static final int FIRST_ERROR_STATUS = 400;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final Logger log = LoggerFactory.getLogger("proxy");

    private final ProxySupport support;
    private final CallContext context;
    private final Workspace workspace;
    private final CompletionRequest request;
    private final String path;
    private final CallerSink sink;
    private final ModelSpec model;
    private final PrefixChain chain;
    private final long fingerprint;
    private final StreamProgress progress = new StreamProgress();
    private final Set<String> excluded = new HashSet<>();
    private @Nullable String answeringWeights;
    private long generatedWhole;
    private int priority;

    /**
     * Creates a call.
     *
     * @param support what all calls share
     * @param context the request's context
     * @param workspace the workspace that it runs for
     * @param request the request
     * @param path the path that engines serve it under
     * @param sink the way back to the caller
     * @throws ShuntException if no such model is configured
     */
    public CompletionCall(
            ProxySupport support,
            CallContext context,
            Workspace workspace,
            CompletionRequest request,
            String path,
            CallerSink sink) {
        this.support = support;
        this.context = context;
        this.workspace = workspace;
        this.request = request;
        this.path = path;
        this.sink = sink;
        ModelSpec configured = context.snapshot().configuration().models().get(request.model());
        if (configured == null) {
            throw ShuntException.notRun(ErrorCode.UNKNOWN_MODEL, Step.ROUTE, "There is no such model.");
        }
        this.model = configured;
        long namespace = PrefixChain.namespace(workspace.name(), model.name(), model.weightsVersion());
        this.chain = PrefixChain.of(namespace, request.prompt());
        this.fingerprint = Hashing.komihash5_0()
                .hashStream()
                .putLong(namespace)
                .putLong(Hashing.komihash5_0().hashBytesToLong(request.body()))
                .getAsLong();
    }

    /**
     * Serves the request.
     *
     * @throws ShuntException if it fails; where the answer has begun, the caller has seen an error event
     * @throws IOException if the caller is gone
     */
    public void run() throws IOException {
        if (support.suspects().status(fingerprint) == CrashSuspects.Status.QUARANTINED) {
            throw quarantined();
        }
        long admitted = chain.tokens() + request.maxTokens();
        support.limiter().admit(workspace, admitted);
        priority = support.priority().recordRequest(workspace, chain.tokens());
        long used = 0;
        try {
            serve();
            used = Math.min(admitted, chain.tokens() + generated());
        } catch (ShuntException | IOException e) {
            used = generated() == 0 ? 0 : Math.min(admitted, chain.tokens() + generated());
            throw e;
        } finally {
            support.limiter().refund(workspace, admitted - used);
            charge(used);
        }
    }

    private void charge(long used) {
        if (used > 0) {
            support.usage().charge(workspace.name(), chain.tokens(), generated());
            support.metrics().tokens(workspace.name(), "prompt", chain.tokens());
            support.metrics().tokens(workspace.name(), "generated", generated());
        }
    }

    private long generated() {
        return request.stream() ? progress.delivered() : generatedWhole;
    }

    private void serve() throws IOException {
        support.budget(context).recordFirstTry();
        for (int attempt = 1; ; attempt++) {
            ShuntException failure = attempt(choose());
            if (failure == null) {
                return;
            }
            if (!progress.canResume() || !support.mayRetry(context, failure)) {
                throw broken(failure);
            }
            if (support.suspects().status(fingerprint) == CrashSuspects.Status.QUARANTINED) {
                throw broken(quarantined());
            }
            support.pauseBefore(attempt, context.deadline());
        }
    }

    private Choice choose() throws IOException {
        excluded.addAll(support.suspects().crashedTargets(fingerprint));
        HashRing engines = context.snapshot().routing().engines(model.name());
        Optional<Choice> target = support.selector().select(engines, chain, excluded);
        if (target.isEmpty()) {
            throw broken(support.noTarget(model.name()));
        }
        return target.get();
    }

    /** Tries one engine; null stands for success. */
    private @Nullable ShuntException attempt(Choice choice) throws IOException {
        TargetView target = choice.target();
        Tracing.Hop hop = support.tracing().client("engine", context.hop()).with("target", target.name());
        String result = "caller_gone";
        support.running().add(target.name(), fingerprint);
        target.runtimeState().requestStarted(choice.prefillTokens());
        try {
            ShuntException failure = sendAndTake(choice, hop);
            result = failure == null ? "ok" : failure.code().wireName();
            if (failure == null) {
                support.suspects().recordCompletion(fingerprint);
            } else {
                failed(target, failure);
            }
            return failure;
        } finally {
            target.runtimeState().requestCompleted();
            support.running().remove(target.name(), fingerprint);
            support.metrics().attempt(target.name(), result);
            hop.end(result);
        }
    }

    private @Nullable ShuntException sendAndTake(Choice choice, Tracing.Hop hop) throws IOException {
        TargetView target = choice.target();
        TargetAnswer received;
        try {
            received = support.client().send(target, outgoing(hop));
        } catch (ShuntException e) {
            return e;
        } finally {
            target.runtimeState().prefillCompleted(choice.prefillTokens());
        }
        try (TargetAnswer answer = received) {
            return take(target, answer);
        }
    }

    private void failed(TargetView target, ShuntException failure) {
        excluded.add(target.name());
        if (isCrash(failure)) {
            support.suspects()
                    .recordCrash(
                            target.name(),
                            target.spec().failureDomain(),
                            support.running().runningOn(target.name()));
        }
        if (failure.step() == Step.CONNECT || isCrash(failure)) {
            support.suspect(target);
        }
        log.warn("A try failed at step {} with {}.", failure.step().wireName(), failure.peer());
    }

    /** A connection that broke while the target was running the request. */
    private static boolean isCrash(ShuntException failure) {
        if (failure.code() == ErrorCode.STREAM_BROKEN) {
            return true;
        }
        return failure.step() == Step.FORWARD && failure.getCause() instanceof IOException;
    }

    private OutgoingRequest outgoing(Tracing.Hop hop) {
        HttpFields.Mutable headers = HttpFields.build()
                .put(HttpHeader.CONTENT_TYPE, "application/json")
                .put(TargetHeaders.REQUEST_ID, context.requestId())
                .put(TargetHeaders.CACHE_NAMESPACE, Long.toHexString(chain.hash(0)))
                .put(TargetHeaders.WEIGHTS_VERSION, model.weightsVersion())
                .put(
                        TargetHeaders.REMAINING_MS,
                        Long.toString(
                                context.deadline().remaining(support.clock()).toMillis()));
        headers.put(TargetHeaders.PRIORITY, Integer.toString(priority));
        if (progress.delivered() > 0) {
            headers.put(TargetHeaders.LAST_EVENT_ID, Long.toString(progress.delivered()));
        }
        support.tracing().inject(hop, headers);
        return new OutgoingRequest("POST", path, headers, request.body(), false, context.deadline());
    }

    private @Nullable ShuntException take(TargetView target, TargetAnswer answer) throws IOException {
        ShuntException refusal = refusal(target, answer);
        if (refusal != null) {
            return refusal;
        }
        if (answer.status() >= FIRST_ERROR_STATUS) {
            return passOn(target, answer);
        }
        countCached(target, answer);
        return request.stream() ? takeStream(target, answer) : passOn(target, answer);
    }

    /** Answers that must not reach the caller, because another engine may do better or they are not its own. */
    private @Nullable ShuntException refusal(TargetView target, TargetAnswer answer) {
        String id = answer.headers().get(TargetHeaders.REQUEST_ID);
        if (id != null && !id.equals(context.requestId())) {
            return failure(target, Outcome.UNKNOWN, "answered another request", null);
        }
        if (TargetHeaders.saysNotRun(answer)) {
            return failure(target, Outcome.NOT_RUN, "did not take the request", null);
        }
        if (answer.status() >= FIRST_SERVER_ERROR_STATUS) {
            return failure(target, Outcome.UNKNOWN, "failed with status " + answer.status(), null);
        }
        if (answer.status() >= FIRST_ERROR_STATUS) {
            return null;
        }
        String weights = answer.headers().get(TargetHeaders.WEIGHTS_VERSION);
        String wanted = answeringWeights == null ? model.weightsVersion() : answeringWeights;
        if (weights != null && !weights.equals(wanted)) {
            return failure(target, Outcome.NOT_RUN, "has other weights", null);
        }
        answeringWeights = wanted;
        return null;
    }

    private void countCached(TargetView target, TargetAnswer answer) {
        long cached = answer.headers().getLongField(TargetHeaders.CACHED_TOKENS);
        support.metrics().tokens(workspace.name(), "cached", cached);
        support.selector().prefillCompleted(target, chain);
    }

    private @Nullable ShuntException takeStream(TargetView target, TargetAnswer answer) throws IOException {
        EventStreamReader events = new EventStreamReader(answer.body());
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        while (true) {
            StreamEvent event;
            try {
                event = events.next();
            } catch (IOException e) {
                deliver(batch, false);
                return streamFailure(target, e);
            }
            StreamProgress.EventAction verdict =
                    event == null ? StreamProgress.EventAction.OUT_OF_ORDER : progress.accept(event);
            if (event == null || verdict == StreamProgress.EventAction.OUT_OF_ORDER) {
                deliver(batch, false);
                return streamFailure(target, null);
            }
            if (verdict == StreamProgress.EventAction.DUPLICATE) {
                continue;
            }
            batch.writeBytes(event.toBytes());
            if (verdict == StreamProgress.EventAction.END) {
                deliver(batch, true);
                return null;
            }
            if (!events.hasBuffered()) {
                deliver(batch, false);
            }
        }
    }

    private void deliver(ByteArrayOutputStream batch, boolean last) throws IOException {
        if (batch.size() == 0) {
            return;
        }
        if (!sink.hasBegun()) {
            double seconds = (support.clock().nanos() - context.arrivedNanos()) / NANOS_PER_SECOND;
            support.metrics().firstToken(workspace.name(), seconds);
            sink.begin(
                    200,
                    HttpFields.build()
                            .put(HttpHeader.CONTENT_TYPE, "text/event-stream")
                            .put(HttpHeader.CACHE_CONTROL, "no-store"));
        }
        sink.write(batch.toByteArray(), last);
        batch.reset();
    }

    /** Passes a whole answer on, once it is complete. */
    private @Nullable ShuntException passOn(TargetView target, TargetAnswer answer) throws IOException {
        byte[] body;
        try {
            body = answer.body().readNBytes(MAX_ANSWER_BYTES + 1);
        } catch (IOException e) {
            return streamFailure(target, e);
        }
        if (body.length > MAX_ANSWER_BYTES) {
            return failure(target, Outcome.UNKNOWN, "sent an answer that is too large", null);
        }
        if (answer.status() < FIRST_ERROR_STATUS) {
            generatedWhole = CompletionUsage.completionTokens(body);
        }
        String type = answer.headers().get(HttpHeader.CONTENT_TYPE);
        sink.begin(
                answer.status(),
                HttpFields.build().put(HttpHeader.CONTENT_TYPE, type == null ? "application/json" : type));
        sink.write(body, true);
        return null;
    }

    private static ShuntException streamFailure(TargetView target, @Nullable Throwable cause) {
        return new ShuntException(
                ErrorCode.STREAM_BROKEN,
                Step.STREAM,
                target.name(),
                Outcome.UNKNOWN,
                "The answer of " + target.name() + " broke off.",
                null,
                cause);
    }

    private static ShuntException failure(TargetView target, Outcome outcome, String what, @Nullable Throwable cause) {
        return new ShuntException(
                ErrorCode.TARGET_FAILED,
                Step.FORWARD,
                target.name(),
                outcome,
                "The target " + target.name() + " " + what + ".",
                null,
                cause);
    }

    private static ShuntException quarantined() {
        return new ShuntException(
                ErrorCode.QUARANTINED,
                Step.ROUTE,
                "self",
                Outcome.UNKNOWN,
                "Several targets crashed while they ran this request.");
    }

    /** Ends an answer that has begun with an error event, so that it can't look complete. */
    private ShuntException broken(ShuntException failure) throws IOException {
        if (sink.hasBegun()) {
            sink.write(ErrorBody.event(failure, context.requestId()), true);
        }
        return failure;
    }
}
