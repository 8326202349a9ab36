package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.relay.model.PoolSpec;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.model.RelayRoute;
import dev.bluebellshunt.relay.model.RelayWorkspace;
import dev.bluebellshunt.relay.model.RouteKind;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.TargetChooser;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * One request on its way: checked, charged, sent to targets until one answers, and its answer passed on.
 *
 * <p>Served by one thread; {@link #callerGone()} may come from another.
 */
final class RelayCall {

    /** Answers of plain services up to this size are read whole before the first byte goes out. */
    private static final int BUFFERED_ANSWER_BYTES = 256 * 1024;

    private static final int READ_BYTES = 8 * 1024;

    /** When to come back while no target takes requests: about what an engine needs to load weights. */
    private static final Duration NO_TARGET_RETRY = Duration.ofMillis(400);

    /** How long an engine that took no request is left alone: about a running request's last steps. */
    private static final Duration FULL_PAUSE = Duration.ofMillis(150);

    /** Sends that a target certainly did not run, beyond which the request is refused. */
    private static final int MAX_REFUSED_SENDS = 3;

    private static final int STATUS_ERROR = 500;

    /** A caller takes these to mean that the request has not run, which a target's plain failure does not. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    /** About how fast the operators' engines read prompts; used to rank requests only. */
    private static final long READ_TOKENS_PER_MS = 60;

    private final RelayContext context;
    private final CallerRequest caller;
    private final AnswerWriter writer;
    private final long arrivedNanos;
    private final Set<String> tried = new HashSet<>();

    private int ran;
    private int refusedSends;
    private boolean retryGranted;
    private long sentNanos;
    private boolean begun;
    private boolean late;
    private String result = "ok";
    private String lastTarget = "none";
    private String lastFailure = "none";
    private @Nullable TargetExchange exchange;
    private boolean callerGone;

    RelayCall(RelayContext context, Request request, Response response, long arrivedNanos) {
        this.context = context;
        this.caller = new CallerRequest(context, request, arrivedNanos);
        this.writer = new AnswerWriter(response);
        this.arrivedNanos = arrivedNanos;
    }

    String requestId() {
        return caller.id();
    }

    boolean isBodyRead() {
        return caller.isBodyRead();
    }

    void result(String text) {
        result = text;
    }

    /** Stops the work of the target, since nobody waits for it. */
    void callerGone() {
        TargetExchange running;
        synchronized (this) {
            callerGone = true;
            running = exchange;
        }
        if (running != null) {
            running.abort(new CallerGoneException());
        }
    }

    synchronized boolean isCallerGone() {
        return callerGone;
    }

    private synchronized void running(@Nullable TargetExchange next) throws IOException {
        exchange = next;
        if (next != null && callerGone) {
            throw new CallerGoneException();
        }
    }

    /** Reads the request and checks that it may be served. */
    void prepare() throws IOException {
        caller.check();
    }

    /** Sends the request until a target answers it, and passes the answer on. */
    void run() throws IOException {
        RelayRoute found = caller.route();
        PoolSpec chosen = caller.pool();
        context.limits().requested(chosen.name());
        while (true) {
            if (isCallerGone()) {
                throw new CallerGoneException();
            }
            if (caller.deadline().hasPassed(context.clock())) {
                throw gaveUp(ErrorCode.DEADLINE_EXCEEDED, "The request's time is over.");
            }
            Optional<TargetChooser.Choice> choice =
                    context.chooser().choose(context.directory().snapshot().pool(chosen.name()), needs());
            if (choice.isEmpty()) {
                throw gaveUp(ErrorCode.NO_TARGET, "No target of the pool takes requests.");
            }
            boolean wasLate = late;
            if (ran == 0) {
                judge(choice.get(), found);
            }
            if (late != wasLate) {
                // A late request may wait long where it is sent, so it needs weights that will do for longer.
                choice = context.chooser().choose(context.directory().snapshot().pool(chosen.name()), needs());
                if (choice.isEmpty()) {
                    throw gaveUp(ErrorCode.NO_TARGET, "No target with new weights takes late requests.");
                }
            }
            boolean first = ran + refusedSends == 0;
            if (!first && !retryGranted && !context.limits().tryRetry(chosen.name())) {
                throw gaveUp(ErrorCode.OVERLOADED, "The pool has had its share of retries.");
            }
            retryGranted = false;
            if (attempt(choice.get().target(), found)) {
                return;
            }
            boolean mayTryAgain =
                    ran == 0 ? refusedSends < MAX_REFUSED_SENDS : found.isRepeatable() && ran < found.maxAttempts();
            if (!mayTryAgain) {
                throw gaveUp(ErrorCode.TARGET_FAILED, "The target " + lastTarget + " failed: " + lastFailure + ".");
            }
        }
    }

    private TargetChooser.Request needs() {
        return new TargetChooser.Request(
                tried,
                caller.marks().sharedPart(),
                caller.marks().model(),
                minWeights(),
                context.directory().loading(),
                caller.marks().tokens(),
                caller.pool().engine());
    }

    private long minWeights() {
        String model = caller.marks().model();
        return model == null
                ? 0
                : OldestWeights.at(
                        context.operators().weights().get(model),
                        context.clock().nanos(),
                        context.weightsTime(),
                        late);
    }

    /** The error for a request that no target has answered, which tells whether one may have run it. */
    private ShuntException gaveUp(ErrorCode code, String message) {
        if (ran == 0) {
            caller.refund();
            ErrorCode refusal = code == ErrorCode.TARGET_FAILED || code == ErrorCode.DEADLINE_EXCEEDED
                    ? ErrorCode.OVERLOADED
                    : code;
            return ShuntException.notRun(refusal, Step.FORWARD, message, NO_TARGET_RETRY);
        }
        ErrorCode failure = code == ErrorCode.DEADLINE_EXCEEDED ? code : ErrorCode.TARGET_FAILED;
        return new ShuntException(failure, Step.FORWARD, lastTarget, Outcome.UNKNOWN, message);
    }

    /** Sends the request to a target; false where another may be tried, as far as the route allows it. */
    private boolean attempt(LiveTarget target, RelayRoute found) throws IOException {
        long tokens = Math.max(1, caller.marks().tokens());
        tried.add(target.entry().id());
        lastTarget = target.entry().id();
        target.load().opened(tokens, late);
        Duration limit = caller.deadline().remaining(context.clock());
        sentNanos = context.clock().nanos();
        begun = false;
        try (TargetExchange sent = new TargetExchange(
                context.http(),
                target.entry(),
                caller.outgoing(),
                TargetHeaders.of(context, caller, target, late, limit),
                limit)) {
            running(sent);
            return answered(target, found, sent);
        } finally {
            target.load().closed(tokens, late, begun);
            running(null);
        }
    }

    /**
     * Works out whether the request can be on time where it would wait. One that can't goes behind those
     * that can; one that would not even start before its deadline is refused at once.
     */
    private void judge(TargetChooser.Choice choice, RelayRoute found) {
        if (caller.marks().model() == null) {
            return;
        }
        long millis = elapsedMillis() + (choice.backlogTokens() + caller.marks().promptTokens()) / READ_TOKENS_PER_MS;
        late = millis > found.objective().toMillis();
        long lateMillis = choice.lateTokens() / READ_TOKENS_PER_MS;
        if (late
                && millis + lateMillis
                        > elapsedMillis()
                                + caller.deadline().remaining(context.clock()).toMillis()) {
            caller.refund();
            throw ShuntException.notRun(
                    ErrorCode.OVERLOADED,
                    Step.ROUTE,
                    "The engines have more to read than the request's time allows.",
                    Duration.ofMillis(Math.max(NO_TARGET_RETRY.toMillis(), lateMillis / 2)));
        }
    }

    private boolean answered(LiveTarget target, RelayRoute found, TargetExchange sent) throws IOException {
        org.eclipse.jetty.client.Response head;
        try {
            head = sent.head(() -> givesUpOn(target, found));
        } catch (TargetExchange.TargetFailure e) {
            failedAttempt(target, e);
            return false;
        }
        begun = true;
        target.load().begun(Math.max(1, caller.marks().tokens()), late);
        AnswerMarks answer = context.codec().readAnswer(lastTarget, head.getStatus(), head.getHeaders());
        String model = caller.marks().model();
        Long weights = answer.weights();
        if (model != null && weights != null && !answer.otherTarget()) {
            target.load().noteWeights(model, weights);
        }
        if (answer.notRun() || answer.otherTarget() || answer.otherWeights()) {
            refusedSends++;
            if (answer.otherWeights() && weights != null) {
                tried.remove(lastTarget);
            }
            attemptFailed(
                    answer.otherTarget() ? "other_target" : answer.otherWeights() ? "other_weights" : "not_run",
                    "status " + head.getStatus());
            if (answer.notRun()) {
                target.load().full(FULL_PAUSE);
            }
            return false;
        }
        ran++;
        boolean crossed = answer.requestId() != null && !answer.requestId().equals(requestId());
        boolean unsigned = head.getStatus() < STATUS_ERROR - 100 && !answer.sealed();
        if (crossed || unsigned) {
            attemptFailed("bad_answer", crossed ? "it answers another request" : "it is not signed");
            target.load().failed();
            return false;
        }
        if (head.getStatus() >= STATUS_ERROR) {
            target.load().failed();
            if (found.kind() == RouteKind.IDEMPOTENT
                    && ran < found.maxAttempts()
                    && context.limits().tryRetry(caller.pool().name())) {
                retryGranted = true;
                attemptFailed("error", "status " + head.getStatus());
                return false;
            }
        }
        if (model != null) {
            String domain = CachePlan.domain(caller.workspace(), target.weights(model));
            context.holders().read(lastTarget, domain, caller.marks().sharedParts());
        }
        return passOn(target, found, sent, head);
    }

    /**
     * Whether to stop waiting for the first byte of a target that has gone silent and to ask another one,
     * which only requests that may run again can do.
     */
    private boolean givesUpOn(LiveTarget target, RelayRoute found) {
        boolean canRepeat = found.isRepeatable() && ran + 1 < found.maxAttempts();
        return canRepeat
                && !target.load().isUsable()
                && context.clock().nanos() - sentNanos > found.objective().toNanos() / 2
                && context.limits().tryRetry(caller.pool().name());
    }

    private void failedAttempt(LiveTarget target, TargetExchange.TargetFailure failure) throws IOException {
        if (isCallerGone()) {
            target.load().gaveUp();
            throw new CallerGoneException();
        }
        if (failure.isSent()) {
            retryGranted = failure.isGivenUp();
            ran++;
        } else {
            refusedSends++;
        }
        attemptFailed(
                failure.isTimeout() ? "timeout" : failure.isSent() ? "unknown" : "not_connected",
                String.valueOf(failure.getMessage()));
        target.load().failed();
        if (failure.isTimeout() && caller.deadline().hasPassed(context.clock())) {
            throw gaveUp(ErrorCode.DEADLINE_EXCEEDED, "The target " + lastTarget + " did not answer in time.");
        }
    }

    private void attemptFailed(String kind, String reason) {
        lastFailure = reason;
        context.metrics().attempt(kind);
        context.decisions()
                .write(
                        "attempt_" + kind,
                        requestId(),
                        "target",
                        lastTarget,
                        "reason",
                        reason,
                        "ms",
                        elapsedMillis(),
                        "configuration_age_ms",
                        context.operators().age().toMillis());
    }

    private boolean passOn(
            LiveTarget target, RelayRoute found, TargetExchange sent, org.eclipse.jetty.client.Response head)
            throws IOException {
        InputStream body = sent.body();
        byte[] buffer = new byte[READ_BYTES];
        byte[] first;
        try {
            first = found.kind() == RouteKind.STREAM
                    ? firstChunk(body, buffer)
                    : body.readNBytes(BUFFERED_ANSWER_BYTES);
        } catch (IOException e) {
            bodyFailed(target, e);
            return false;
        }
        begin(head);
        if (first.length < BUFFERED_ANSWER_BYTES && found.kind() != RouteKind.STREAM) {
            writer.keepForEnd(first);
        } else {
            copy(first, body, buffer, target);
        }
        target.load().succeeded();
        context.metrics().attempt("ok");
        return true;
    }

    private static byte[] firstChunk(InputStream body, byte[] buffer) throws IOException {
        int read = body.read(buffer);
        return read < 0 ? new byte[0] : java.util.Arrays.copyOf(buffer, read);
    }

    private void bodyFailed(LiveTarget target, IOException failure) throws IOException {
        if (isCallerGone()) {
            throw failure;
        }
        attemptFailed("broken", String.valueOf(failure.getMessage()));
        target.load().failed();
        if (TargetExchange.isTimeout(failure)) {
            throw gaveUp(ErrorCode.DEADLINE_EXCEEDED, "The target " + lastTarget + " did not end its answer in time.");
        }
    }

    private void begin(org.eclipse.jetty.client.Response head) {
        int status = head.getStatus();
        if (NOT_RUN_STATUSES.contains(status)) {
            throw new ShuntException(
                    ErrorCode.TARGET_FAILED,
                    Step.FORWARD,
                    lastTarget,
                    Outcome.UNKNOWN,
                    "The target answered with status " + status + " but may have run the request.");
        }
        writer.begin(head);
        noteFirstByte(caller.route());
        if (status >= STATUS_ERROR) {
            result = "target_error";
        }
    }

    private void noteFirstByte(RelayRoute found) {
        long millis = elapsedMillis();
        context.metrics().firstByte(found.kind().name().toLowerCase(Locale.ROOT), millis / 1_000.0);
        if (millis > found.objective().toMillis()) {
            context.decisions()
                    .write(
                            "late_answer",
                            requestId(),
                            "route",
                            found.name(),
                            "target",
                            lastTarget,
                            "tokens",
                            caller.marks().tokens(),
                            "ran",
                            ran,
                            "refused_sends",
                            refusedSends,
                            "ms_to_send",
                            TimeUnit.NANOSECONDS.toMillis(sentNanos - arrivedNanos),
                            "ms",
                            millis);
        }
    }

    /** Passes pieces on as they come. A failure leaves the response unfinished, so that the caller sees the break. */
    private void copy(byte[] first, InputStream body, byte[] buffer, LiveTarget target) throws IOException {
        writer.write(ByteBuffer.wrap(first));
        while (true) {
            int read;
            try {
                read = body.read(buffer);
            } catch (IOException e) {
                lastFailure = String.valueOf(e.getMessage());
                if (!isCallerGone()) {
                    target.load().failed();
                    context.decisions()
                            .write(
                                    "stream_broken",
                                    requestId(),
                                    "target",
                                    lastTarget,
                                    "reason",
                                    lastFailure,
                                    "ms",
                                    elapsedMillis());
                }
                throw e;
            }
            if (read < 0) {
                return;
            }
            target.load().heard();
            writer.write(ByteBuffer.wrap(buffer, 0, read));
        }
    }

    /** Writes what is left of the answer and completes it. */
    void writeEnd(Callback callback) {
        writer.end(callback);
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(context.clock().nanos() - arrivedNanos);
    }

    /** Counts and logs how the request ended. */
    void report() {
        RelayRoute found = caller.routeIfKnown();
        String kind = found == null ? "none" : found.kind().name().toLowerCase(Locale.ROOT);
        RelayWorkspace payer = caller.workspace();
        context.metrics().request(kind, result);
        if ("ok".equals(result)) {
            return;
        }
        context.decisions()
                .write(
                        "ended_" + result,
                        requestId(),
                        "route",
                        found == null ? "none" : found.name(),
                        "workspace",
                        payer == null ? "none" : payer.name(),
                        "tokens",
                        caller.marks().tokens(),
                        "target",
                        lastTarget,
                        "reason",
                        lastFailure,
                        "ran",
                        ran,
                        "ms",
                        elapsedMillis(),
                        "configuration",
                        context.operators()
                                .configuration()
                                .map(RelayConfiguration::version)
                                .orElse(-1L),
                        "configuration_age_ms",
                        context.operators().age().toMillis());
    }
}
