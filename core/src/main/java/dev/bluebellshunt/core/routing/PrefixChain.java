package dev.bluebellshunt.core.routing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.core.check.Check;

/**
 * The chained hashes of a prompt's leading blocks. Each hash covers its block and all blocks before it.
 *
 * <p>The chain starts from the workspace, the model and the version of its weights, so that equal
 * prompts of different workspaces or weights versions never share a hash.
 */
public final class PrefixChain {

    /** Number of tokens in a cached block. */
    public static final int BLOCK_TOKENS = 2_000;

    /** Estimated number of bytes per token, for use without a tokenizer. */
    public static final int BYTES_PER_TOKEN = 4;

    private static final int BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN;

    /** Maximum number of hashed blocks; deeper blocks do not affect routing. */
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
     * Creates a chain from precomputed hashes.
     *
     * @param namespace workspace, model and weights version
     * @param hashes the hashes, first block first
     * @param tokens the number of tokens in the whole prompt
     * @return the chain
     */
    public static PrefixChain ofHashes(long namespace, long[] hashes, long tokens) {
        Check.requireArgument(tokens >= 0, "tokens must not be negative");
        return new PrefixChain(namespace, hashes.clone(), tokens);
    }

    /**
     * Returns the root hash of a namespace; cached blocks must never be shared across namespaces.
     *
     * @param workspace the workspace
     * @param model the model
     * @param weightsVersion the version of its weights
     * @return the root hash of a chain
     */
    public static long namespace(String workspace, String model, String weightsVersion) {
        return HASHER.hashStream()
                .putString(workspace)
                .putString(model)
                .putString(weightsVersion)
                .getAsLong();
    }

    /**
     * Estimates the number of tokens in a text.
     *
     * @param bytes the text's length in UTF-8
     * @return the number of tokens, rounded up
     */
    public static long tokensOf(long bytes) {
        return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }

    /**
     * Returns the number of whole blocks.
     *
     * @return zero or more
     */
    public int depth() {
        return hashes.length;
    }

    /**
     * Returns the hash of the leading blocks.
     *
     * @param blocks how many of them, from zero to {@link #depth()}
     * @return the hash, or the root hash for zero blocks
     */
    public long hash(int blocks) {
        return blocks == 0 ? root : hashes[blocks - 1];
    }

    public long tokens() {
        return tokens;
    }
}
