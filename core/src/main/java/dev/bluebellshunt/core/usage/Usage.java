package dev.bluebellshunt.core.usage;

/**
 * The usage charged to a workspace.
 *
 * @param requests the number of answered requests
 * @param promptTokens the number of prompt tokens
 * @param generatedTokens the number of generated tokens that callers received
 */
public record Usage(long requests, long promptTokens, long generatedTokens) {

    /** A usage of zero. */
    public static final Usage NONE = new Usage(0, 0, 0);

    /**
     * Returns the sum of this usage and another one.
     *
     * @param other the usage to add
     * @return the sum
     */
    public Usage plus(Usage other) {
        return new Usage(
                requests + other.requests, promptTokens + other.promptTokens, generatedTokens + other.generatedTokens);
    }
}
