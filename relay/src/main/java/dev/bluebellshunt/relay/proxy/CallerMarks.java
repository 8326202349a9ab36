package dev.bluebellshunt.relay.proxy;

import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What a caller's headers say.
 *
 * @param requestId the id of this try, or null
 * @param key the caller's key, or null
 * @param patience how long the caller waits, or null where it does not say
 * @param model the model asked for, or null for a plain request
 * @param promptTokens tokens of the prompt, zero where not said
 * @param outputTokens the most tokens that may be generated, zero where not said
 * @param hasTokenCount whether the caller said how many tokens the request has
 * @param prompt the parts of the prompt in order, the last one being the request's own
 */
public record CallerMarks(
        @Nullable String requestId,
        @Nullable String key,
        @Nullable Duration patience,
        @Nullable String model,
        long promptTokens,
        long outputTokens,
        boolean hasTokenCount,
        List<PromptPart> prompt) {

    /**
     * A part of a prompt, which other requests may share.
     *
     * @param id the part's id
     * @param tokens its size
     */
    public record PromptPart(String id, long tokens) {}

    /**
     * All tokens that the request may use.
     *
     * @return prompt and output
     */
    public long tokens() {
        return promptTokens + outputTokens;
    }

    /**
     * The parts of the prompt that other requests share: all but the last one.
     *
     * @return their ids, from the beginning of the prompt
     */
    public List<String> sharedParts() {
        return prompt.stream()
                .limit(Math.max(0, prompt.size() - 1))
                .map(PromptPart::id)
                .toList();
    }

    /**
     * The size of the parts that other requests share.
     *
     * @return tokens
     */
    public long sharedTokens() {
        return prompt.stream()
                .limit(Math.max(0, prompt.size() - 1))
                .mapToLong(PromptPart::tokens)
                .sum();
    }

    /**
     * The size of the request's own part of the prompt.
     *
     * @return tokens
     */
    public long ownTokens() {
        return prompt.isEmpty() ? 0 : prompt.getLast().tokens();
    }

    /**
     * What the request has in common with those that share most of its prompt.
     *
     * @return the last shared part, or the request's own where it shares none, or null for a plain request
     */
    public @Nullable String sharedPart() {
        if (prompt.isEmpty()) {
            return null;
        }
        return prompt.get(Math.max(0, prompt.size() - 2)).id();
    }
}
