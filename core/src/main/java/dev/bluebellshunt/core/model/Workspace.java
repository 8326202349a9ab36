package dev.bluebellshunt.core.model;

import dev.bluebellshunt.core.check.Check;

/**
 * A workspace and what it may use.
 *
 * @param name its name
 * @param rate tokens a second across the fleet
 * @param burst tokens that may be used at once across the fleet
 * @param weight its share against other workspaces while targets are short
 */
public record Workspace(String name, long rate, long burst, int weight) {

    public Workspace {
        Check.hasText(name, "workspace name");
        Check.argument(rate > 0, "rate must be positive");
        Check.argument(burst > 0, "burst must be positive");
        Check.argument(weight > 0, "weight must be positive");
    }
}
