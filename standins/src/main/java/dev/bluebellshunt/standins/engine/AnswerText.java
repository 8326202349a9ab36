package dev.bluebellshunt.standins.engine;

import com.dynatrace.hash4j.hashing.Hashing;

/** The answers of stand-in engines: a function of the prompt and the weights alone, so that they can be checked. */
public final class AnswerText {

    private static final int LEAST_TOKENS = 4;
    private static final int WORDS = 10_000;

    private AnswerText() {}

    /**
     * The seed of an answer.
     *
     * @param prompt the prompt
     * @param weightsVersion the version of the weights
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
     * The number of tokens in an answer.
     *
     * @param seed the seed
     * @param maxTokens the most that are wanted
     * @return from 1 to that number
     */
    public static long length(long seed, long maxTokens) {
        long half = Math.max(LEAST_TOKENS, maxTokens / 2);
        return Math.min(maxTokens, half + Long.remainderUnsigned(seed, half));
    }

    /**
     * One token.
     *
     * @param seed the seed
     * @param token its number, from 1
     * @return its text, with a space before it but for the first
     */
    public static String token(long seed, long token) {
        long word = Long.remainderUnsigned(Hashing.komihash5_0().hashLongLongToLong(seed, token), WORDS);
        return (token == 1 ? "w" : " w") + word;
    }

    /**
     * A whole answer.
     *
     * @param seed the seed
     * @param tokens how many tokens
     * @return its text
     */
    public static String whole(long seed, long tokens) {
        StringBuilder text = new StringBuilder();
        for (long token = 1; token <= tokens; token++) {
            text.append(token(seed, token));
        }
        return text.toString();
    }
}
