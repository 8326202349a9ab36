package dev.bluebellshunt.router.proxy;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.routing.PrefixChain;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The parts of a completion request that the router uses.
 *
 * @param model the requested model
 * @param stream whether the response is streamed
 * @param maxTokens the maximum number of tokens to generate
 * @param prompt the prompt text, in the order in which an engine processes it
 * @param promptParts hashes of the parts that other prompts may contain too
 * @param body the request body as sent by the caller
 */
@SuppressWarnings("ArrayRecordComponent") // instances are never compared; avoids copying large prompts
public record CompletionRequest(
        String model, boolean stream, long maxTokens, byte[] prompt, List<String> promptParts, byte[] body) {

    private static final long DEFAULT_MAX_TOKENS = 512;
    private static final long MAX_TOKENS_LIMIT = 1_000_000;

    /** The maximum number of parts of a prompt by which crashes of engines are counted. */
    private static final int MAX_PARTS = 64;

    private static final int PART_BYTES = PrefixChain.BLOCK_TOKENS * PrefixChain.BYTES_PER_TOKEN;

    /**
     * Parses a completion request.
     *
     * @param body the request body
     * @return the parsed request
     * @throws ShuntException if the body is not a valid completion request
     */
    public static CompletionRequest parse(byte[] body) {
        JsonNode root;
        try {
            root = Json.mapper().readTree(body);
        } catch (IOException e) {
            throw malformed("The request body is not valid JSON.");
        }
        if (root == null || !root.isObject()) {
            throw malformed("The request body must be a JSON object.");
        }
        JsonNode model = root.path("model");
        if (!model.isTextual()) {
            throw malformed("'model' must be a string.");
        }
        return new CompletionRequest(
                model.textValue(),
                root.path("stream").asBoolean(false),
                maxTokens(root),
                prompt(root),
                promptParts(root),
                body);
    }

    private static long maxTokens(JsonNode root) {
        JsonNode value =
                root.has("max_completion_tokens") ? root.path("max_completion_tokens") : root.path("max_tokens");
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!value.canConvertToLong() || value.longValue() < 1 || value.longValue() > MAX_TOKENS_LIMIT) {
            throw malformed("'max_tokens' must be between 1 and " + MAX_TOKENS_LIMIT + ".");
        }
        return value.longValue();
    }

    private static byte[] prompt(JsonNode root) {
        JsonNode messages = root.path("messages");
        JsonNode prompt = root.path("prompt");
        if (messages.isArray() && !messages.isEmpty()) {
            return concatenateMessages(messages);
        }
        if (prompt.isTextual()) {
            return prompt.textValue().getBytes(StandardCharsets.UTF_8);
        }
        throw malformed("Either 'messages' or 'prompt' is required.");
    }

    /** Returns hashes of what other prompts may contain too: all messages but the last one, or all whole blocks. */
    private static List<String> promptParts(JsonNode root) {
        List<String> parts = new ArrayList<>();
        JsonNode messages = root.path("messages");
        if (messages.isArray() && !messages.isEmpty()) {
            for (int i = 0; i < Math.min(MAX_PARTS, messages.size() - 1); i++) {
                parts.add(hash(messages.get(i).path("content").toString().getBytes(StandardCharsets.UTF_8)));
            }
            return List.copyOf(parts);
        }
        byte[] prompt = prompt(root);
        for (int i = 0; i < MAX_PARTS && (i + 1) * PART_BYTES <= prompt.length; i++) {
            parts.add(hash(Arrays.copyOfRange(prompt, i * PART_BYTES, (i + 1) * PART_BYTES)));
        }
        return List.copyOf(parts);
    }

    private static String hash(byte[] part) {
        return Long.toHexString(Hashing.komihash5_0().hashBytesToLong(part));
    }

    private static byte[] concatenateMessages(JsonNode messages) {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        for (JsonNode message : messages) {
            JsonNode content = message.path("content");
            if (!message.path("role").isTextual() || content.isMissingNode()) {
                throw malformed("Each message must have 'role' and 'content'.");
            }
            buffer.writeBytes(message.path("role").textValue().getBytes(StandardCharsets.UTF_8));
            buffer.write('\n');
            String serializedContent = content.isTextual() ? content.textValue() : content.toString();
            buffer.writeBytes(serializedContent.getBytes(StandardCharsets.UTF_8));
            buffer.write('\n');
        }
        return buffer.toByteArray();
    }

    private static ShuntException malformed(String message) {
        return ShuntException.notRun(ErrorCode.MALFORMED_REQUEST, Step.PARSE, message);
    }
}
