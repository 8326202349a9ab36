package dev.bluebellshunt.router.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import dev.bluebellshunt.core.codec.Json;
import java.io.IOException;

/** Reads the token usage that an engine reports in a non-streamed response. */
final class CompletionUsage {

    private CompletionUsage() {}

    static long completionTokens(byte[] body) {
        try {
            JsonNode usage = Json.mapper().readTree(body).path("usage");
            return Math.max(0, usage.path("completion_tokens").asLong(0));
        } catch (IOException e) {
            return 0;
        }
    }
}
