package dev.bluebellshunt.router.proxy;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.limit.PeerTokenClient;
import dev.bluebellshunt.core.limit.ShareGroup;
import dev.bluebellshunt.core.limit.WorkspaceLimiter;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.model.ModelSpec;
import dev.bluebellshunt.core.model.TargetKind;
import dev.bluebellshunt.core.model.TargetSpec;
import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.once.AttemptStatusClient;
import dev.bluebellshunt.core.once.OnceLedger;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.retry.RunningRequests;
import dev.bluebellshunt.core.routing.CostSelector;
import dev.bluebellshunt.core.routing.PrefixCacheIndex;
import dev.bluebellshunt.core.routing.PriorityCalculator;
import dev.bluebellshunt.core.routing.RoutingSnapshot;
import dev.bluebellshunt.core.target.TargetRuntimeState;
import dev.bluebellshunt.core.target.TargetState;
import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.testing.InMemoryKeyValueStore;
import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.usage.Usage;
import dev.bluebellshunt.core.usage.UsageLedger;
import dev.bluebellshunt.router.control.RouterSnapshot;
import dev.bluebellshunt.router.telemetry.RouterMetrics;
import dev.bluebellshunt.router.telemetry.Tracing;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/** Runs the proxy code of one router against scripted targets, without a network. */
final class ProxyTestHarness {

    static final Workspace WORKSPACE = new Workspace("press", 10_000, 40_000, 1);
    static final String WEIGHTS = "v1";
    private static final AtomicInteger LAST_ATTEMPT_ID = new AtomicInteger();

    final ManualClock clock = new ManualClock();
    final InMemoryKeyValueStore store;
    final CrashSuspects suspects = new CrashSuspects(clock, new Random(1));
    final UsageLedger usage = new UsageLedger();
    final List<SentRequest> sentRequests = new ArrayList<>();
    final OnceLedger ledger;
    final WorkspaceLimiter limiter;
    final ProxySupport support;
    final Set<String> leavingTargets = new HashSet<>();

    /** The incarnation of all targets, to be changed when they have restarted. */
    String incarnation = "i1";

    private final List<TargetView> targets = new ArrayList<>();

    ProxyTestHarness(
            InMemoryKeyValueStore store, AttemptStatusClient statusClient, TargetClient script, int targetCount) {
        this.store = store;
        limiter = new WorkspaceLimiter(clock, new NoPeerTokens());
        limiter.apply(Map.of(WORKSPACE.name(), WORKSPACE));
        limiter.setGroupShare(ShareGroup.groupOf(WORKSPACE.name()), 1);
        clock.advance(Duration.ofSeconds(100));
        ledger = new OnceLedger(
                store,
                statusClient,
                "self-" + System.identityHashCode(this),
                () -> "attempt-" + LAST_ATTEMPT_ID.incrementAndGet());
        for (int i = 1; i <= targetCount; i++) {
            targets.add(target("target-" + i, "domain-" + i));
        }
        support = new ProxySupport(
                clock,
                new Random(7),
                (target, request) -> {
                    sentRequests.add(new SentRequest(target.name(), request));
                    return script.send(target, request);
                },
                new CostSelector(clock, new Random(8), new PrefixCacheIndex(clock)),
                new PriorityCalculator(clock),
                limiter,
                ledger,
                suspects,
                new RunningRequests(),
                ProxySupport.createRetryBudgets(),
                usage,
                new RouterMetrics(),
                Tracing.propagationOnly(),
                target -> {},
                wait -> {});
    }

    private static TargetView target(String name, String domain) {
        TargetSpec spec =
                new TargetSpec(name, TargetKind.ENGINE, "10.0.0.1", 80, domain, Set.of("model", "desk"), false, false);
        return new TargetView(spec, TargetState.LIVE, "i1", new TargetRuntimeState());
    }

    CallContext context() {
        FleetConfiguration configuration = new FleetConfiguration(
                1,
                Map.of(WORKSPACE.name(), WORKSPACE),
                Map.of("model", new ModelSpec("model", WEIGHTS)),
                Map.of(),
                List.of(),
                Map.of());
        RouterSnapshot snapshot = new RouterSnapshot(
                configuration, routing(), Deadline.after(clock, Duration.ofHours(1)), List.of(), Map.of());
        return new CallContext(
                "request-1",
                snapshot,
                this::routing,
                WORKSPACE,
                clock.nanos(),
                Deadline.after(clock, Duration.ofSeconds(60)),
                support.tracing().startServerSpan("test", HttpFields.EMPTY));
    }

    /** Returns each target as an engine and as an application. */
    private RoutingSnapshot routing() {
        List<TargetView> views = new ArrayList<>();
        for (TargetView view : targets) {
            TargetState state = leavingTargets.contains(view.name()) ? TargetState.LEAVING : TargetState.LIVE;
            TargetSpec application = new TargetSpec(
                    view.name(),
                    TargetKind.APPLICATION,
                    "10.0.0.1",
                    80,
                    view.spec().failureDomain(),
                    Set.of("desk"),
                    false,
                    false);
            views.add(new TargetView(view.spec(), state, incarnation, view.runtimeState()));
            views.add(new TargetView(application, state, incarnation, view.runtimeState()));
        }
        return new RoutingSnapshot(views);
    }

    Usage recordedUsage() {
        return usage.snapshot().getOrDefault(WORKSPACE.name(), Usage.NONE);
    }

    /** Returns the number of requests that the target counters report as in flight. */
    int requestsInFlight() {
        return targets.stream()
                .mapToInt(view -> view.runtimeState().requestsInFlight())
                .sum();
    }

    long prefillTokensInFlight() {
        return targets.stream()
                .mapToLong(view -> view.runtimeState().prefillTokensInFlight())
                .sum();
    }

    static ShuntException connectionRefused(TargetView target) {
        return new ShuntException(
                ErrorCode.TARGET_FAILED,
                Step.CONNECT,
                target.name(),
                Outcome.NOT_RUN,
                "refused",
                null,
                new ConnectException("refused"));
    }

    static ShuntException connectionReset(TargetView target) {
        return new ShuntException(
                ErrorCode.TARGET_FAILED,
                Step.FORWARD,
                target.name(),
                Outcome.UNKNOWN,
                "reset",
                null,
                new IOException("reset"));
    }

    static TargetResponse response(int status, HttpFields headers, String body, boolean resetAfterBody) {
        InputStream bodyStream = new ByteArrayInputStream(body.getBytes(StandardCharsets.UTF_8));
        return new ScriptedResponse(
                status,
                headers,
                resetAfterBody ? new SequenceInputStream(bodyStream, new ResetInputStream()) : bodyStream,
                true);
    }

    /** Returns a successful response that ends with its connection. */
    static TargetResponse responseWithoutFraming(String body) {
        return new ScriptedResponse(
                200, HttpFields.EMPTY, new ByteArrayInputStream(body.getBytes(StandardCharsets.UTF_8)), false);
    }

    record SentRequest(String target, TargetRequest request) {}

    private record ScriptedResponse(int status, HttpFields headers, InputStream body, boolean marksEnd)
            implements TargetResponse {
        @Override
        public void close() {}
    }

    /** Fails each read as a connection that was reset. */
    private static final class ResetInputStream extends InputStream {
        @Override
        public int read() throws IOException {
            throw new IOException("reset");
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            throw new IOException("reset");
        }
    }

    private static final class NoPeerTokens implements PeerTokenClient {
        @Override
        public List<String> lenders(String workspace) {
            return List.of();
        }

        @Override
        public CompletableFuture<Long> borrow(String address, String workspace, long wanted) {
            return CompletableFuture.completedFuture(0L);
        }
    }

    /** Records the response, and can simulate a caller that disconnects after a number of bytes. */
    static final class RecordingCaller implements CallerResponse {
        final ByteArrayOutputStream received = new ByteArrayOutputStream();
        int status;
        boolean complete;
        boolean openEnded;
        private final int disconnectAfterBytes;
        private @Nullable HttpFields headers;

        RecordingCaller() {
            this(Integer.MAX_VALUE);
        }

        RecordingCaller(int disconnectAfterBytes) {
            this.disconnectAfterBytes = disconnectAfterBytes;
        }

        @Override
        public void start(int newStatus, HttpFields newHeaders) {
            status = newStatus;
            headers = newHeaders;
        }

        @Override
        public void startOpenEnded(int newStatus, HttpFields newHeaders) {
            start(newStatus, newHeaders);
            openEnded = true;
        }

        @Override
        public boolean isStarted() {
            return headers != null;
        }

        @Override
        public void write(byte[] bytes, boolean last) throws IOException {
            if (received.size() + bytes.length > disconnectAfterBytes) {
                throw new IOException("the caller has disconnected");
            }
            received.writeBytes(bytes);
            complete = complete || last;
        }

        String text() {
            return received.toString(StandardCharsets.UTF_8);
        }
    }
}
