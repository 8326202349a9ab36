package dev.bluebellshunt.core.model;

import dev.bluebellshunt.core.check.Check;

/**
 * A workspace and its limits.
 *
 * @param name its name
 * @param rate tokens per second across the fleet
 * @param burst burst size in tokens across the fleet
 * @param weight its weight relative to other workspaces while target capacity is scarce
 */
public record Workspace(String name, long rate, long burst, int weight) {

    public Workspace {
        Check.requireText(name, "workspace name");
        Check.requireArgument(rate > 0, "rate must be positive");
        Check.requireArgument(burst > 0, "burst must be positive");
        Check.requireArgument(weight > 0, "weight must be positive");
    }
}
