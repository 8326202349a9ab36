package dev.bluebellshunt.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** The prompt of a completion request, in the order in which an engine reads it. */
public final class EnginePrompt {

    private EnginePrompt() {}

    /**
     * Reads the prompt.
     *
     * @param body a completion request
     * @return its prompt in UTF-8
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
