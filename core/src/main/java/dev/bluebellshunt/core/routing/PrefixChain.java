package dev.bluebellshunt.core.routing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.core.check.Check;

/**
 * The hashes of a prompt's leading blocks, each over all that comes before it.
 *
 * <p>The chain starts from the workspace, the model and the version of its weights, so that equal
 * prompts of two workspaces, or under two versions, share no hash.
 */
public final class PrefixChain {

    /** Tokens in a cached block. */
    public static final int BLOCK_TOKENS = 2_000;

    /** Bytes of text that stand for one token where no tokenizer is at hand. */
    public static final int BYTES_PER_TOKEN = 4;

    private static final int BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN;

    /** Blocks beyond this depth do not change a decision. */
    static final int MAX_BLOCKS = 64;

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private final long root;
    private final long[] hashes;
    private final long tokens;

    private PrefixChain(long root, long[] hashes, long tokens) {
        this.root = root;
        this.hashes = hashes;
        this.tokens = tokens;
    }

    /**
     * Hashes a prompt.
     *
     * @param namespace workspace, model and weights version, see {@link #namespace}
     * @param prompt the prompt in UTF-8
     * @return its chain
     */
    public static PrefixChain of(long namespace, byte[] prompt) {
        int blocks = Math.min(MAX_BLOCKS, prompt.length / BLOCK_BYTES);
        long[] hashes = new long[blocks];
        long previous = namespace;
        for (int i = 0; i < blocks; i++) {
            long block = HASHER.hashBytesToLong(prompt, i * BLOCK_BYTES, BLOCK_BYTES);
            previous = HASHER.hashLongLongToLong(previous, block);
            hashes[i] = previous;
        }
        return new PrefixChain(namespace, hashes, tokensOf(prompt.length));
    }

    /**
     * Makes a chain from hashes made elsewhere.
     *
     * @param namespace workspace, model and weights version
     * @param hashes the hashes, first block first
     * @param tokens tokens of the whole prompt
     * @return the chain
     */
    public static PrefixChain ofHashes(long namespace, long[] hashes, long tokens) {
        Check.argument(tokens >= 0, "tokens must not be negative");
        return new PrefixChain(namespace, hashes.clone(), tokens);
    }

    /**
     * Hashes what a cached block must never be shared across.
     *
     * @param workspace the workspace
     * @param model the model
     * @param weightsVersion the version of its weights
     * @return the start of a chain
     */
    public static long namespace(String workspace, String model, String weightsVersion) {
        return HASHER.hashStream()
                .putString(workspace)
                .putString(model)
                .putString(weightsVersion)
                .getAsLong();
    }

    /**
     * Estimates the tokens of a text.
     *
     * @param bytes the text's length in UTF-8
     * @return tokens, rounded up
     */
    public static long tokensOf(long bytes) {
        return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }

    /**
     * The number of whole blocks.
     *
     * @return zero or more
     */
    public int depth() {
        return hashes.length;
    }

    /**
     * The hash of the first blocks.
     *
     * @param blocks how many of them, from zero to {@link #depth()}
     * @return the hash; with zero blocks, that of the namespace
     */
    public long hash(int blocks) {
        return blocks == 0 ? root : hashes[blocks - 1];
    }

    public long tokens() {
        return tokens;
    }
}
