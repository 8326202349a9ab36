package dev.bluebellshunt.core.key;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.model.KeySpec;
import dev.bluebellshunt.core.model.Workspace;
import org.jspecify.annotations.Nullable;

/** Finds the workspace that a caller's key opens. */
public final class KeyCheck {

    /** Compared with when the id is unknown, so that both refusals take the same time. */
    private static final KeySpec NOBODY = new KeySpec("nobody", "nobody", "00".repeat(16), "00".repeat(32));

    private KeyCheck() {}

    /**
     * Checks a key.
     *
     * @param configuration the revision in force
     * @param presented what the caller sent, or null where it sent none
     * @return the workspace
     * @throws ShuntException if there is no key, or none that opens a workspace
     */
    public static Workspace workspaceOf(FleetConfiguration configuration, @Nullable String presented) {
        if (presented == null || presented.isBlank()) {
            throw ShuntException.notRun(ErrorCode.MISSING_KEY, Step.AUTHENTICATE, "The request carries no key.");
        }
        CallerKey key = CallerKey.parse(presented).orElseThrow(KeyCheck::invalid);
        KeySpec spec = configuration.keys().getOrDefault(key.id(), NOBODY);
        if (!key.matches(spec)) {
            throw invalid();
        }
        Workspace workspace = configuration.workspaces().get(spec.workspace());
        if (workspace == null) {
            throw invalid();
        }
        return workspace;
    }

    private static ShuntException invalid() {
        return ShuntException.notRun(ErrorCode.INVALID_KEY, Step.AUTHENTICATE, "The key is not valid.");
    }
}
