package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.relay.model.RelayWorkspace;
import dev.bluebellshunt.relay.target.LiveTarget;
import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/** Builds the headers of a request to a target. */
final class TargetRequestHeaders {

    /** The urgency of priority 0, which lies between the most urgent value of targets, 0, and their default, 5. */
    private static final int TOP_PRIORITY_URGENCY = 3;

    private static final int URGENCY_PER_PRIORITY = 2;

    /** Queues a request behind all requests that can still meet their objective. */
    private static final int LATE_URGENCY = 8;

    private TargetRequestHeaders() {}

    /**
     * Builds the headers.
     *
     * @param cache where the target finds cached parts of the prompt, or null for requests without a model
     * @param late whether the request can no longer meet its latency objective
     * @param timeout how long the target has to respond
     */
    static HttpFields build(
            RelayContext context,
            CallerRequest caller,
            LiveTarget target,
            @Nullable PromptCachePlan cache,
            boolean late,
            Duration timeout) {
        HttpFields.Mutable headers = EndToEndHeaders.copy(
                caller.headers(),
                name -> context.headerCodec().isReserved(name)
                        || "content-length".equals(name)
                        || (caller.withholdsApiKey() && "authorization".equals(name)));
        context.headerCodec().writeTargetHeaders(headers, metadata(caller, target, cache, late, timeout));
        return headers;
    }

    private static TargetRequestMetadata metadata(
            CallerRequest caller, LiveTarget target, @Nullable PromptCachePlan cache, boolean late, Duration timeout) {
        RelayWorkspace workspace = caller.workspace();
        String workspaceName = workspace == null ? null : workspace.name();
        String model = caller.metadata().model();
        if (model == null || cache == null) {
            return new TargetRequestMetadata(target.entry().id(), null, workspaceName, null, null, null, null, timeout);
        }
        Long weightsVersion = target.weightsVersion(model) == 0 ? null : target.weightsVersion(model);
        return new TargetRequestMetadata(
                target.entry().id(),
                weightsVersion,
                workspaceName,
                cache.domain(),
                cache.source(),
                cache.store(),
                late ? LATE_URGENCY : urgency(caller),
                timeout);
    }

    private static int urgency(CallerRequest caller) {
        return Math.min(LATE_URGENCY - 1, TOP_PRIORITY_URGENCY + URGENCY_PER_PRIORITY * caller.priority());
    }
}
