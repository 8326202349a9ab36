package dev.bluebellshunt.router.proxy;

import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.routing.RoutingSnapshot;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.router.control.RouterSnapshot;
import dev.bluebellshunt.router.telemetry.Tracing;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * The context in which a caller's request is forwarded.
 *
 * @param requestId the ID of the request
 * @param snapshot the control state with which the request is served
 * @param targets provides the latest targets, which may change while the request is served
 * @param workspace the workspace of the caller, or null on a route without authentication
 * @param arrivalNanos the arrival time, in nanoseconds of the monotonic clock
 * @param deadline the deadline of the complete response
 * @param span the trace span of the request
 */
public record CallContext(
        String requestId,
        RouterSnapshot snapshot,
        Supplier<RoutingSnapshot> targets,
        @Nullable Workspace workspace,
        long arrivalNanos,
        Deadline deadline,
        Tracing.TraceSpan span) {

    /**
     * Returns the workspace name to use in metrics.
     *
     * @return the name, or {@code none} on a route without authentication
     */
    public String workspaceName() {
        return workspace == null ? "none" : workspace.name();
    }
}
