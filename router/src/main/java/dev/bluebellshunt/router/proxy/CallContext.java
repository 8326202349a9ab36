package dev.bluebellshunt.router.proxy;

import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.router.control.RouterSnapshot;
import dev.bluebellshunt.router.telemetry.Tracing;
import org.jspecify.annotations.Nullable;

/**
 * What is known of a caller's request once it has been let in.
 *
 * @param requestId the request's id
 * @param snapshot the control state that serves it
 * @param workspace the workspace that it runs for, null on a route open to all
 * @param arrivedNanos when it arrived
 * @param deadline when it must have been answered
 * @param hop its span
 */
public record CallContext(
        String requestId,
        RouterSnapshot snapshot,
        @Nullable Workspace workspace,
        long arrivedNanos,
        Deadline deadline,
        Tracing.Hop hop) {

    /**
     * The workspace's name for metrics.
     *
     * @return the name, or {@code none}
     */
    public String workspaceName() {
        return workspace == null ? "none" : workspace.name();
    }
}
