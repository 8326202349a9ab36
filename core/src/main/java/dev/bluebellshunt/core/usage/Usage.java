package dev.bluebellshunt.core.usage;

/**
 * What a workspace has been charged.
 *
 * @param requests answered requests
 * @param promptTokens tokens of their prompts
 * @param generatedTokens tokens that their callers received
 */
public record Usage(long requests, long promptTokens, long generatedTokens) {

    /** Nothing. */
    public static final Usage NONE = new Usage(0, 0, 0);

    /**
     * Adds two usages.
     *
     * @param other the other one
     * @return the sum
     */
    public Usage plus(Usage other) {
        return new Usage(
                requests + other.requests, promptTokens + other.promptTokens, generatedTokens + other.generatedTokens);
    }
}
