package dev.bluebellshunt.router.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * What the router has to know of a completion request.
 *
 * @param model the model that it asks for
 * @param stream whether the answer is to be streamed
 * @param maxTokens the most tokens that it may generate
 * @param prompt the prompt in the order in which an engine reads it
 * @param body the body as the caller sent it
 */
@SuppressWarnings("ArrayRecordComponent") // never compared; prompts are large and not copied
public record CompletionRequest(String model, boolean stream, long maxTokens, byte[] prompt, byte[] body) {

    private static final long DEFAULT_MAX_TOKENS = 512;
    private static final long LARGEST_MAX_TOKENS = 1_000_000;

    /**
     * Reads a request.
     *
     * @param body the body
     * @return the request
     * @throws ShuntException if it is no completion request
     */
    public static CompletionRequest parse(byte[] body) {
        JsonNode root;
        try {
            root = Json.mapper().readTree(body);
        } catch (IOException e) {
            throw malformed("The body is not JSON.");
        }
        if (root == null || !root.isObject()) {
            throw malformed("The body is not a JSON object.");
        }
        JsonNode model = root.path("model");
        if (!model.isTextual()) {
            throw malformed("'model' must be a text.");
        }
        return new CompletionRequest(
                model.textValue(), root.path("stream").asBoolean(false), maxTokens(root), prompt(root), body);
    }

    private static long maxTokens(JsonNode root) {
        JsonNode value =
                root.has("max_completion_tokens") ? root.path("max_completion_tokens") : root.path("max_tokens");
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!value.canConvertToLong() || value.longValue() < 1 || value.longValue() > LARGEST_MAX_TOKENS) {
            throw malformed("'max_tokens' must be from 1 to " + LARGEST_MAX_TOKENS + ".");
        }
        return value.longValue();
    }

    private static byte[] prompt(JsonNode root) {
        JsonNode messages = root.path("messages");
        JsonNode prompt = root.path("prompt");
        if (messages.isArray() && !messages.isEmpty()) {
            return promptOfMessages(messages);
        }
        if (prompt.isTextual()) {
            return prompt.textValue().getBytes(StandardCharsets.UTF_8);
        }
        throw malformed("There must be 'messages' or a 'prompt'.");
    }

    private static byte[] promptOfMessages(JsonNode messages) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        for (JsonNode message : messages) {
            JsonNode content = message.path("content");
            if (!message.path("role").isTextual() || content.isMissingNode()) {
                throw malformed("Each message needs a role and a content.");
            }
            text.writeBytes(message.path("role").textValue().getBytes(StandardCharsets.UTF_8));
            text.write('\n');
            String written = content.isTextual() ? content.textValue() : content.toString();
            text.writeBytes(written.getBytes(StandardCharsets.UTF_8));
            text.write('\n');
        }
        return text.toByteArray();
    }

    private static ShuntException malformed(String message) {
        return ShuntException.notRun(ErrorCode.MALFORMED_REQUEST, Step.PARSE, message);
    }
}
