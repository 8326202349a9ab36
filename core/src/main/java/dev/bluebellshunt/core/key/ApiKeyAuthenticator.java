package dev.bluebellshunt.core.key;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.model.KeySpec;
import dev.bluebellshunt.core.model.Workspace;
import org.jspecify.annotations.Nullable;

/** Authenticates a caller by its API key and finds the key's workspace. */
public final class ApiKeyAuthenticator {

    /** Compared with keys of unknown id, so that the response time does not reveal whether an id exists. */
    private static final KeySpec PLACEHOLDER_SPEC = new KeySpec("nobody", "nobody", "00".repeat(16), "00".repeat(32));

    private ApiKeyAuthenticator() {}

    /**
     * Returns the workspace that a key grants access to.
     *
     * @param configuration the active configuration
     * @param presented the key that the caller sent, or null if it sent none
     * @return the workspace
     * @throws ShuntException if the key is missing or not valid
     */
    public static Workspace authenticate(FleetConfiguration configuration, @Nullable String presented) {
        if (presented == null || presented.isBlank()) {
            throw ShuntException.notRun(ErrorCode.MISSING_KEY, Step.AUTHENTICATE, "The request has no API key.");
        }
        ApiKey key = ApiKey.parse(presented).orElseThrow(ApiKeyAuthenticator::invalidKey);
        KeySpec spec = configuration.keys().getOrDefault(key.id(), PLACEHOLDER_SPEC);
        if (!key.matches(spec)) {
            throw invalidKey();
        }
        Workspace workspace = configuration.workspaces().get(spec.workspace());
        if (workspace == null) {
            throw invalidKey();
        }
        return workspace;
    }

    private static ShuntException invalidKey() {
        return ShuntException.notRun(ErrorCode.INVALID_KEY, Step.AUTHENTICATE, "The API key is not valid.");
    }
}
