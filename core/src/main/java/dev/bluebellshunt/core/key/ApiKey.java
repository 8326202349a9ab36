package dev.bluebellshunt.core.key;

import dev.bluebellshunt.core.model.KeySpec;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;

/**
 * An API key in the text format {@code bbs_ID_SECRET}.
 *
 * <p>{@link #toString} omits the secret, so that logging a key does not disclose it.
 */
public final class ApiKey {

    private static final String PREFIX = "bbs_";
    private static final int ID_BYTES = 6;
    private static final int SECRET_BYTES = 32;
    private static final int SALT_BYTES = 16;
    private static final int MAX_KEY_LENGTH = 200;

    private final String id;
    private final String secret;

    private ApiKey(String id, String secret) {
        this.id = id;
        this.secret = secret;
    }

    /**
     * Parses a key.
     *
     * @param text the text that the caller sent
     * @return the key, or empty if the text is not a well-formed key
     */
    public static Optional<ApiKey> parse(String text) {
        if (text.length() > MAX_KEY_LENGTH || !text.startsWith(PREFIX)) {
            return Optional.empty();
        }
        int separator = text.indexOf('_', PREFIX.length());
        if (separator <= PREFIX.length() || separator == text.length() - 1) {
            return Optional.empty();
        }
        return Optional.of(new ApiKey(text.substring(PREFIX.length(), separator), text.substring(separator + 1)));
    }

    /**
     * Generates a random key.
     *
     * @param random the source of randomness
     * @return the key
     */
    public static ApiKey generate(SecureRandom random) {
        return new ApiKey(randomHex(random, ID_BYTES), randomHex(random, SECRET_BYTES));
    }

    /**
     * Returns the full text of the key, as callers send it.
     *
     * @return the key with its secret
     */
    public String reveal() {
        return PREFIX + id + "_" + secret;
    }

    public String id() {
        return id;
    }

    /**
     * Creates the configuration entry for this key, with a salted digest instead of the secret.
     *
     * @param workspace the name of the workspace that the key grants access to
     * @param random the source of the salt
     * @return the configuration entry
     */
    public KeySpec toSpec(String workspace, SecureRandom random) {
        String salt = randomHex(random, SALT_BYTES);
        return new KeySpec(id, workspace, salt, HexFormat.of().formatHex(digest(salt)));
    }

    /**
     * Compares this key's secret with a configuration entry in constant time, to prevent timing attacks.
     *
     * @param spec the configuration entry
     * @return whether the secret matches the entry's digest
     */
    public boolean matches(KeySpec spec) {
        return MessageDigest.isEqual(digest(spec.salt()), HexFormat.of().parseHex(spec.digest()));
    }

    private byte[] digest(String salt) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            sha256.update(HexFormat.of().parseHex(salt));
            return sha256.digest(secret.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    private static String randomHex(SecureRandom random, int bytes) {
        byte[] buffer = new byte[bytes];
        random.nextBytes(buffer);
        return HexFormat.of().formatHex(buffer);
    }

    @Override
    public String toString() {
        return "ApiKey[id=" + id + "]";
    }
}
