package dev.bluebellshunt.relay.proxy;

import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The values parsed from the headers of a caller's request.
 *
 * @param requestId the id of this attempt of the caller, or null
 * @param apiKey the caller's API key, or null
 * @param timeout how long the caller waits for the response, or null if absent
 * @param model the requested model, or null if the request does not use one
 * @param promptTokens the number of prompt tokens, zero if absent
 * @param maxOutputTokens the maximum number of tokens to generate, zero if absent
 * @param hasTokenCount whether the caller declared token counts
 * @param promptParts the parts of the prompt in order; the last one is not shared with other requests
 */
public record CallerRequestMetadata(
        @Nullable String requestId,
        @Nullable String apiKey,
        @Nullable Duration timeout,
        @Nullable String model,
        long promptTokens,
        long maxOutputTokens,
        boolean hasTokenCount,
        List<PromptPart> promptParts) {

    /**
     * A part of a prompt, which may be shared with other requests.
     *
     * @param id the part's id
     * @param tokens the number of tokens
     */
    public record PromptPart(String id, long tokens) {}

    /**
     * Returns the maximum number of tokens that the request may use.
     *
     * @return the sum of prompt and output tokens
     */
    public long totalTokens() {
        return promptTokens + maxOutputTokens;
    }

    /**
     * Returns the ids of the prompt parts shared with other requests: all but the last one.
     *
     * @return the ids, in the order of the prompt
     */
    public List<String> sharedPartIds() {
        return promptParts.stream()
                .limit(Math.max(0, promptParts.size() - 1))
                .map(PromptPart::id)
                .toList();
    }

    /**
     * Returns the total size of the shared parts.
     *
     * @return the number of tokens
     */
    public long sharedTokens() {
        return promptParts.stream()
                .limit(Math.max(0, promptParts.size() - 1))
                .mapToLong(PromptPart::tokens)
                .sum();
    }

    /**
     * Returns the size of the last part of the prompt, which is not shared.
     *
     * @return the number of tokens
     */
    public long unsharedTokens() {
        return promptParts.isEmpty() ? 0 : promptParts.getLast().tokens();
    }

    /**
     * Returns the key by which requests with a common prompt prefix are sent to the same engine.
     *
     * @return the id of the last shared part, or of the only part if none is shared, or null without a prompt
     */
    public @Nullable String affinityKey() {
        if (promptParts.isEmpty()) {
            return null;
        }
        return promptParts.get(Math.max(0, promptParts.size() - 2)).id();
    }
}
