package dev.bluebellshunt.relay.model;

/**
 * A workspace and its limits.
 *
 * @param name the name of the workspace
 * @param priority the priority, which overrides the route's, or {@link #NO_PRIORITY}
 * @param dedicated whether cached prompts are not shared with other workspaces
 * @param countsTokens whether the limit counts tokens rather than requests
 * @param defaultTokens the tokens charged for a request without a token count
 * @param ratePerSecond the permitted units per second across all VMs, zero for no limit
 * @param burst the permitted units in excess of the rate
 */
public record RelayWorkspace(
        String name,
        int priority,
        boolean dedicated,
        boolean countsTokens,
        long defaultTokens,
        double ratePerSecond,
        double burst) {

    /** The workspace does not override the priority of the route. */
    public static final int NO_PRIORITY = -1;

    /**
     * Returns whether the workspace has a rate limit.
     *
     * @return true if the usage of the workspace is limited
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
