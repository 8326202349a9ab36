package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.relay.target.CompletionEstimate;
import dev.bluebellshunt.relay.target.EngineSpeeds;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.PoolTargetSelector;
import dev.bluebellshunt.relay.target.SentRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the target of each send of one request, together with whether the request is late: one that can no longer
 * meet its objective is queued behind all others at its engine.
 *
 * <p>Confined to the thread of the request.
 */
final class TargetChoice {

    /** Retry delay for callers while no target is available; about the time that an engine takes to load weights. */
    static final Duration NO_TARGET_RETRY_DELAY = Duration.ofMillis(400);

    private final RelayContext context;
    private final CallerRequest caller;
    private final SendHistory history;
    private final long receivedNanos;
    private boolean late;
    private PoolTargetSelector.@Nullable Selection chosen;
    private long uncachedTokens;

    TargetChoice(RelayContext context, CallerRequest caller, SendHistory history, long receivedNanos) {
        this.context = context;
        this.caller = caller;
        this.history = history;
        this.receivedNanos = receivedNanos;
    }

    /** The outcome of a choice. */
    sealed interface Outcome {

        /** A target may be sent the request. */
        record Chosen(LiveTarget target) implements Outcome {}

        /** No target accepts the request. */
        record NoTarget(String message, Duration retryDelay) implements Outcome {}

        /** The request would not start before its deadline. */
        record TooLate(Duration retryDelay) implements Outcome {}
    }

    /** Whether the request is queued behind those that can still meet their objectives. */
    boolean isLate() {
        return late;
    }

    /** Chooses the target of the next send. */
    Outcome next() {
        Optional<PoolTargetSelector.Selection> selection = select();
        if (selection.isEmpty()) {
            return new Outcome.NoTarget(
                    "No target of the pool is available.",
                    context.targetSelector().retryDelay(pool(), context.clock()).orElse(NO_TARGET_RETRY_DELAY));
        }
        boolean wasLate = late;
        // A request that may have run is not rejected, since that would state that it has not.
        if (history.possiblyExecuted() == 0) {
            CompletionEstimate.Outcome estimate = estimate(selection.get());
            late = !(estimate instanceof CompletionEstimate.Outcome.OnTime);
            if (estimate instanceof CompletionEstimate.Outcome.Hopeless hopeless) {
                return new Outcome.TooLate(Duration.ofMillis(Math.max(
                        NO_TARGET_RETRY_DELAY.toMillis(), hopeless.queue().toMillis() / 2)));
            }
        }
        if (late != wasLate) {
            // A late request may wait longer at its engine, so it needs weights that stay acceptable for longer.
            selection = select();
            if (selection.isEmpty()) {
                return new Outcome.NoTarget(
                        "No target with recent weights is available for a late request.", NO_TARGET_RETRY_DELAY);
            }
        }
        chosen = selection.get();
        uncachedTokens = uncachedTokens(selection.get().target());
        return new Outcome.Chosen(selection.get().target());
    }

    /** Returns the size and the urgency with which the request is sent to the chosen target. */
    SentRequest sentRequest() {
        return new SentRequest(Math.max(1, caller.metadata().totalTokens()), uncachedTokens, caller.priority(), late);
    }

    private long uncachedTokens(LiveTarget target) {
        String model = caller.metadata().model();
        return model == null
                ? 0
                : PromptCachePlan.uncachedTokens(context, target, caller.metadata(), caller.workspace(), model);
    }

    /** Records the time to the response of the chosen target. */
    void recordResponse(Duration sinceSend) {
        PoolTargetSelector.Selection selection = chosen;
        if (selection != null && caller.metadata().model() == null) {
            CompletionEstimate.recordResponse(selection, sinceSend);
        }
    }

    /**
     * Records the time to the first event of the chosen target. A late request waits for all others, so that its time says
     * nothing about the target.
     */
    void recordFirstEvent(Duration sinceSend) {
        PoolTargetSelector.Selection selection = chosen;
        if (selection != null && !late && caller.metadata().model() != null) {
            EngineSpeeds.record(selection.target(), uncachedTokens, selection.backlogTokens(), sinceSend);
        }
    }

    private CompletionEstimate.Outcome estimate(PoolTargetSelector.Selection selection) {
        if (caller.metadata().model() == null) {
            return CompletionEstimate.estimateApplication(
                    selection, caller.deadline().remaining(context.clock()).toMillis());
        }
        return CompletionEstimate.estimate(
                selection,
                uncachedTokens(selection.target()),
                TimeUnit.NANOSECONDS.toMillis(context.clock().nanos() - receivedNanos),
                caller.route().objective().toMillis(),
                caller.deadline().remaining(context.clock()).toMillis());
    }

    private Optional<PoolTargetSelector.Selection> select() {
        return context.targetSelector()
                .select(
                        pool(),
                        new PoolTargetSelector.Request(
                                history.triedTargets(),
                                caller.metadata().affinityKey(),
                                caller.metadata().model(),
                                minimumWeightsVersion(),
                                context.targetDirectory().loading(),
                                caller.metadata().totalTokens(),
                                caller.priority(),
                                this::uncachedTokens,
                                caller.pool().engine()));
    }

    private List<LiveTarget> pool() {
        return context.targetDirectory().snapshot().pool(caller.pool().name());
    }

    /** Whether a target may still be sent the request, which may have waited for a connection since the choice. */
    boolean mayBegin(LiveTarget chosen) {
        String model = caller.metadata().model();
        return context.targetDirectory()
                .snapshot()
                .find(chosen.entry().incarnation())
                .filter(LiveTarget::acceptsRequests)
                .filter(target -> model == null || target.weightsVersion(model) >= minimumWeightsVersion())
                .isPresent();
    }

    private long minimumWeightsVersion() {
        String model = caller.metadata().model();
        return model == null
                ? 0
                : MinimumWeightsVersion.compute(
                        context.operatorState().weights().get(model),
                        context.clock().nanos(),
                        context.maxWeightsStaleness(),
                        late);
    }
}
