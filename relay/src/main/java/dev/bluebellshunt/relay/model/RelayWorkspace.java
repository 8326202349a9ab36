package dev.bluebellshunt.relay.model;

/**
 * A workspace and its limits.
 *
 * @param name the workspace's name
 * @param priority its rank, which goes before the route's, or {@link #NO_PRIORITY}
 * @param dedicated whether it shares no cached prompts with other workspaces
 * @param countsTokens whether its limit counts tokens, not requests
 * @param defaultTokens tokens that a request without a token count stands for
 * @param ratePerSecond what it may use a second over all VMs, zero for no limit
 * @param burst what it may use beyond the rate
 */
public record RelayWorkspace(
        String name,
        int priority,
        boolean dedicated,
        boolean countsTokens,
        long defaultTokens,
        double ratePerSecond,
        double burst) {

    /** The workspace has no rank of its own. */
    public static final int NO_PRIORITY = -1;

    /**
     * Whether the workspace has a limit.
     *
     * @return false where it may use what it likes
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
