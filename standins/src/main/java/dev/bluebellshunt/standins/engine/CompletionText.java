package dev.bluebellshunt.standins.engine;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Generates the completion text of stand-in engines. The text is a function of the prompt and the weights
 * version only, so that clients can verify it.
 */
public final class CompletionText {

    private static final int MIN_TOKENS = 4;
    private static final int VOCABULARY_SIZE = 10_000;

    private CompletionText() {}

    /**
     * Computes the seed of a completion.
     *
     * @param prompt the prompt
     * @param weightsVersion the weights version
     * @return the seed
     */
    public static long seed(byte[] prompt, String weightsVersion) {
        return Hashing.komihash5_0()
                .hashStream()
                .putByteArray(prompt)
                .putString(weightsVersion)
                .getAsLong();
    }

    /**
     * Returns the number of tokens in a completion.
     *
     * @param seed the seed
     * @param maxTokens the maximum number of tokens to generate
     * @return the number of tokens, at most {@code maxTokens}
     */
    public static long tokenCount(long seed, long maxTokens) {
        long minimum = Math.max(MIN_TOKENS, maxTokens / 2);
        return Math.min(maxTokens, minimum + Long.remainderUnsigned(seed, minimum));
    }

    /**
     * Returns the text of a token.
     *
     * @param seed the seed
     * @param token the position of the token in the completion, starting at 1
     * @return the text, preceded by a space unless it is the first token
     */
    public static String tokenText(long seed, long token) {
        long word = Long.remainderUnsigned(Hashing.komihash5_0().hashLongLongToLong(seed, token), VOCABULARY_SIZE);
        return (token == 1 ? "w" : " w") + word;
    }

    /**
     * Returns the text of a completion.
     *
     * @param seed the seed
     * @param tokens the number of tokens
     * @return the text
     */
    public static String fullText(long seed, long tokens) {
        StringBuilder text = new StringBuilder();
        for (long token = 1; token <= tokens; token++) {
            text.append(tokenText(seed, token));
        }
        return text.toString();
    }
}
