package dev.bluebellshunt.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Extracts the prompt of a completion request as the byte sequence that an engine processes. */
public final class EnginePrompt {

    private EnginePrompt() {}

    /**
     * Returns the prompt of a completion or chat completion request.
     *
     * @param body the request body
     * @return the prompt, encoded in UTF-8
     */
    public static byte[] of(JsonNode body) {
        if (!body.path("messages").isArray()) {
            return body.path("prompt").asText("").getBytes(StandardCharsets.UTF_8);
        }
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        for (JsonNode message : body.path("messages")) {
            String line = message.path("role").asText() + "\n"
                    + message.path("content").asText() + "\n";
            text.writeBytes(line.getBytes(StandardCharsets.UTF_8));
        }
        return text.toByteArray();
    }
}
