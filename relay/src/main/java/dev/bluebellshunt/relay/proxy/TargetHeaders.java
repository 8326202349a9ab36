package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.relay.model.RelayWorkspace;
import dev.bluebellshunt.relay.target.LiveTarget;
import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;

/** The headers with which a caller's request goes to a target. */
final class TargetHeaders {

    /** An urgency between the targets' most urgent, 0, and their default, 5, for the first rank. */
    private static final int FIRST_URGENCY = 3;

    private static final int URGENCY_STEP = 2;

    /** Behind all that can still be on time. */
    private static final int LATE_URGENCY = 8;

    private TargetHeaders() {}

    /**
     * Makes the headers.
     *
     * @param late whether the request can't be on time any more
     * @param patience how long the answer is worth waiting for
     */
    static HttpFields of(
            RelayContext context, CallerRequest caller, LiveTarget target, boolean late, Duration patience) {
        HttpFields.Mutable headers = ForwardedHeaders.copy(
                caller.headers(),
                name -> context.codec().isReserved(name)
                        || "content-length".equals(name)
                        || (caller.hidesKey() && "authorization".equals(name)));
        context.codec().writeTarget(headers, marks(context, caller, target, late, patience));
        return headers;
    }

    private static TargetMarks marks(
            RelayContext context, CallerRequest caller, LiveTarget target, boolean late, Duration patience) {
        RelayWorkspace payer = caller.workspace();
        String payerName = payer == null ? null : payer.name();
        String model = caller.marks().model();
        if (model == null) {
            return new TargetMarks(target.entry().id(), null, payerName, null, null, null, null, patience);
        }
        Long weights = target.weights(model) == 0 ? null : target.weights(model);
        CachePlan cache = CachePlan.of(context, target, caller.marks(), payer);
        return new TargetMarks(
                target.entry().id(),
                weights,
                payerName,
                cache.domain(),
                cache.source(),
                cache.store(),
                late ? LATE_URGENCY : urgency(caller),
                patience);
    }

    /** How urgent the target should take a request that can be on time; a workspace's rank goes before its route's. */
    private static int urgency(CallerRequest caller) {
        RelayWorkspace payer = caller.workspace();
        int own = payer == null ? RelayWorkspace.NO_PRIORITY : payer.priority();
        int rank = own == RelayWorkspace.NO_PRIORITY ? caller.route().priority() : own;
        return Math.min(LATE_URGENCY - 1, FIRST_URGENCY + URGENCY_STEP * Math.max(0, rank));
    }
}
