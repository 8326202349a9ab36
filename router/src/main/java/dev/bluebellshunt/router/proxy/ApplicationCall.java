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
import dev.bluebellshunt.core.routing.PrefixChain;
import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.router.telemetry.Tracing;
import java.io.IOException;
import java.time.Duration;
import java.util.Base64;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves one request to a plain service.
 *
 * <p>An idempotent request is tried again while its budget and deadline allow. Any other runs at most
 * once: the ledger permits one attempt, which is sent to another target only where the first one
 * certainly did not start it.
 *
 * <p>Used by one thread.
 */
public final class ApplicationCall {

    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
    private static final int MAX_KEPT_BYTES = 64 * 1024;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final Duration IN_PROGRESS_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Logger log = LoggerFactory.getLogger("proxy");

    private final ProxySupport support;
    private final CallContext context;
    private final ApplicationRequest request;
    private final CallerSink sink;
    private final PrefixChain affinity;
    private final Set<String> excluded = new HashSet<>();
    private boolean ran;

    /**
     * Creates a call.
     *
     * @param support what all calls share
     * @param context the request's context
     * @param request the request
     * @param sink the way back to the caller
     */
    public ApplicationCall(ProxySupport support, CallContext context, ApplicationRequest request, CallerSink sink) {
        this.support = support;
        this.context = context;
        this.request = request;
        this.sink = sink;
        this.affinity = PrefixChain.ofHashes(support.random().nextLong(), new long[0], 0);
    }

    /**
     * Serves the request.
     *
     * @throws ShuntException if it fails
     * @throws IOException if the caller is gone
     */
    public void run() throws IOException {
        if (!request.route().idempotent() && request.idempotencyKey() == null) {
            throw ShuntException.notRun(
                    ErrorCode.IDEMPOTENCY_KEY_REQUIRED,
                    Step.PARSE,
                    "This route needs an Idempotency-Key header, so that a resend is known as one.");
        }
        long cost = request.route().cost();
        Workspace workspace = context.workspace();
        if (workspace != null) {
            support.limiter().admit(workspace, cost);
        }
        try {
            if (request.route().idempotent()) {
                runIdempotent();
            } else {
                runOnce();
            }
        } finally {
            if (workspace != null && !ran) {
                support.limiter().refund(workspace, cost);
            }
            if (workspace != null && ran) {
                support.usage().charge(workspace.name(), 0, 0);
            }
        }
    }

    private void runIdempotent() throws IOException {
        support.budget(context).recordFirstTry();
        for (int attempt = 1; ; attempt++) {
            switch (attempt(choose())) {
                case Attempt.Answered answered -> {
                    send(answered.whole());
                    return;
                }
                case Attempt.Failed failed -> {
                    if (!support.mayRetry(context, failed.failure())) {
                        throw failed.failure();
                    }
                    support.pauseBefore(attempt, context.deadline());
                }
            }
        }
    }

    private void runOnce() throws IOException {
        String key = OnceLedger.key(
                context.workspaceName(), request.route().name(), String.valueOf(request.idempotencyKey()));
        switch (support.ledger().begin(key, bodyDigest())) {
            case BeginResult.Claimed fresh -> sendOnce(fresh.attempt());
            case BeginResult.AlreadyFinished finished -> replay(finished.result());
            case BeginResult.InProgress ignored -> throw inProgress();
            case BeginResult.UnknownOutcome ignored -> throw unknownOutcome();
            case BeginResult.BodyMismatch ignored ->
                throw ShuntException.notRun(
                        ErrorCode.IDEMPOTENCY_KEY_REUSED,
                        Step.ONCE_LEDGER,
                        "The idempotency key was used for another request.");
        }
    }

    private static ShuntException inProgress() {
        return new ShuntException(
                ErrorCode.IDEMPOTENCY_KEY_IN_USE,
                Step.ONCE_LEDGER,
                "self",
                Outcome.UNKNOWN,
                "The request is running now.",
                IN_PROGRESS_RETRY_AFTER,
                null);
    }

    private static ShuntException unknownOutcome() {
        return new ShuntException(
                ErrorCode.TARGET_FAILED,
                Step.ONCE_LEDGER,
                "self",
                Outcome.UNKNOWN,
                "The request may have run before; its outcome is not known, and it is not run again.");
    }

    private void sendOnce(BeginResult.Attempt permission) throws IOException {
        support.budget(context).recordFirstTry();
        for (int attempt = 1; ; attempt++) {
            switch (attempt(chooseOrRelease(permission))) {
                case Attempt.Answered answered -> {
                    support.ledger().finish(permission, kept(answered.whole()));
                    send(answered.whole());
                    return;
                }
                case Attempt.Failed failed -> {
                    giveUpUnlessNotRun(permission, failed.failure());
                    support.pauseBefore(attempt, context.deadline());
                }
            }
        }
    }

    private TargetView chooseOrRelease(BeginResult.Attempt permission) {
        try {
            return choose();
        } catch (ShuntException e) {
            support.ledger().release(permission);
            throw e;
        }
    }

    /** Returns only where another target may run the request. */
    private void giveUpUnlessNotRun(BeginResult.Attempt permission, ShuntException failure) {
        if (failure.outcome() != Outcome.NOT_RUN) {
            support.ledger().markOutcomeUnknown(permission);
            throw failure;
        }
        if (!support.mayRetry(context, failure)) {
            support.ledger().release(permission);
            throw failure;
        }
    }

    private TargetView choose() {
        String service = request.route().service();
        return support.selector()
                .select(context.snapshot().routing().applications(service), affinity, excluded)
                .orElseThrow(() -> support.noTarget(service))
                .target();
    }

    private Attempt attempt(TargetView target) {
        Tracing.Hop hop = support.tracing().client("application", context.hop()).with("target", target.name());
        target.runtimeState().requestStarted(0);
        String result = "internal";
        try (TargetAnswer answer = support.client().send(target, outgoing(hop))) {
            Attempt taken = take(target, answer);
            result = taken.result();
            return taken;
        } catch (ShuntException e) {
            result = e.code().wireName();
            return failed(target, e);
        } finally {
            target.runtimeState().requestCompleted();
            support.metrics().attempt(target.name(), result);
            hop.end(result);
        }
    }

    private Attempt take(TargetView target, TargetAnswer answer) {
        String id = answer.headers().get(TargetHeaders.REQUEST_ID);
        if (id != null && !id.equals(context.requestId())) {
            return failed(target, failure(target, Outcome.UNKNOWN, "answered another request", null));
        }
        if (TargetHeaders.saysNotRun(answer)) {
            return failed(target, failure(target, Outcome.NOT_RUN, "did not take the request", null));
        }
        if (answer.status() >= FIRST_SERVER_ERROR_STATUS && request.route().idempotent()) {
            return failed(target, failure(target, Outcome.UNKNOWN, "failed with status " + answer.status(), null));
        }
        try {
            byte[] body = answer.body().readNBytes(MAX_ANSWER_BYTES + 1);
            if (body.length > MAX_ANSWER_BYTES) {
                return failed(target, failure(target, Outcome.UNKNOWN, "sent an answer that is too large", null));
            }
            String type = answer.headers().get(HttpHeader.CONTENT_TYPE);
            ran = true;
            return new Attempt.Answered(
                    new Whole(answer.status(), type == null ? "application/octet-stream" : type, body));
        } catch (IOException e) {
            return failed(target, failure(target, Outcome.UNKNOWN, "broke its answer off", e));
        }
    }

    private Attempt failed(TargetView target, ShuntException failure) {
        excluded.add(target.name());
        if (failure.step() == Step.CONNECT || failure.getCause() instanceof IOException) {
            support.suspect(target);
        }
        log.warn("A try failed at step {} with {}.", failure.step().wireName(), failure.peer());
        return new Attempt.Failed(failure);
    }

    private OutgoingRequest outgoing(Tracing.Hop hop) {
        HttpFields.Mutable headers =
                HttpFields.build(request.headers()).put(TargetHeaders.REQUEST_ID, context.requestId());
        Workspace workspace = context.workspace();
        if (workspace != null) {
            headers.put("x-workspace", workspace.name());
        }
        support.tracing().inject(hop, headers);
        return new OutgoingRequest(
                request.method(),
                request.pathAndQuery(),
                headers,
                request.body(),
                !request.route().idempotent(),
                context.deadline());
    }

    private void send(Whole whole) throws IOException {
        sink.begin(whole.status(), HttpFields.build().put(HttpHeader.CONTENT_TYPE, whole.contentType()));
        sink.write(whole.body(), true);
    }

    private void replay(OnceResult result) throws IOException {
        if (result.truncated()) {
            throw new ShuntException(
                    ErrorCode.IDEMPOTENCY_KEY_IN_USE,
                    Step.ONCE_LEDGER,
                    "self",
                    Outcome.UNKNOWN,
                    "The request ran before with status " + result.status() + "; its answer was too large to be kept.");
        }
        byte[] body = Base64.getDecoder().decode(result.bodyBase64());
        sink.begin(
                result.status(),
                HttpFields.build()
                        .put(HttpHeader.CONTENT_TYPE, result.contentType())
                        .put("idempotent-replayed", "true"));
        sink.write(body, true);
    }

    private static OnceResult kept(Whole whole) {
        boolean truncated = whole.body().length > MAX_KEPT_BYTES;
        String body = truncated ? "" : Base64.getEncoder().encodeToString(whole.body());
        return new OnceResult(whole.status(), whole.contentType(), body, truncated);
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

    private static ShuntException failure(TargetView target, Outcome outcome, String what, @Nullable Throwable cause) {
        ErrorCode code = cause instanceof TimeoutException ? ErrorCode.DEADLINE_EXCEEDED : ErrorCode.TARGET_FAILED;
        return new ShuntException(
                code,
                Step.FORWARD,
                target.name(),
                outcome,
                "The target " + target.name() + " " + what + ".",
                null,
                cause);
    }

    /** What came of a try. */
    private sealed interface Attempt {

        /** The result's name for metrics. */
        String result();

        record Answered(Whole whole) implements Attempt {
            @Override
            public String result() {
                return "ok";
            }
        }

        record Failed(ShuntException failure) implements Attempt {
            @Override
            public String result() {
                return failure.code().wireName();
            }
        }
    }

    @SuppressWarnings("ArrayRecordComponent") // never compared
    private record Whole(int status, String contentType, byte[] body) {}
}
