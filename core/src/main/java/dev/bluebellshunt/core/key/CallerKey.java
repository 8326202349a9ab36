package dev.bluebellshunt.core.key;

import dev.bluebellshunt.core.model.KeySpec;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;

/**
 * A caller's key, written as {@code bbs_ID_SECRET}.
 *
 * <p>The text form of this class leaves the secret out, so that it can't reach a log by accident.
 */
public final class CallerKey {

    private static final String PREFIX = "bbs_";
    private static final int ID_BYTES = 6;
    private static final int SECRET_BYTES = 32;
    private static final int SALT_BYTES = 16;
    private static final int MAX_LENGTH = 200;

    private final String id;
    private final String secret;

    private CallerKey(String id, String secret) {
        this.id = id;
        this.secret = secret;
    }

    /**
     * Reads a key.
     *
     * @param text what the caller sent
     * @return the key, or empty where the text is no key
     */
    public static Optional<CallerKey> parse(String text) {
        if (text.length() > MAX_LENGTH || !text.startsWith(PREFIX)) {
            return Optional.empty();
        }
        int separator = text.indexOf('_', PREFIX.length());
        if (separator <= PREFIX.length() || separator == text.length() - 1) {
            return Optional.empty();
        }
        return Optional.of(new CallerKey(text.substring(PREFIX.length(), separator), text.substring(separator + 1)));
    }

    /**
     * Makes a key from fresh random bits.
     *
     * @param random the source of the bits
     * @return the key
     */
    public static CallerKey generate(SecureRandom random) {
        return new CallerKey(randomHex(random, ID_BYTES), randomHex(random, SECRET_BYTES));
    }

    /**
     * The key as its owner presents it.
     *
     * @return the whole key with its secret
     */
    public String reveal() {
        return PREFIX + id + "_" + secret;
    }

    public String id() {
        return id;
    }

    /**
     * Makes the entry that operators keep.
     *
     * @param workspace the workspace that the key opens
     * @param random the source of the salt
     * @return the entry, without the secret
     */
    public KeySpec toSpec(String workspace, SecureRandom random) {
        String salt = randomHex(random, SALT_BYTES);
        return new KeySpec(id, workspace, salt, HexFormat.of().formatHex(digest(salt)));
    }

    /**
     * Compares the key with an entry, in a time that does not depend on where they differ.
     *
     * @param spec the entry
     * @return whether the secret is the entry's
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
            throw new IllegalStateException("the Java platform has no SHA-256", e);
        }
    }

    private static String randomHex(SecureRandom random, int bytes) {
        byte[] buffer = new byte[bytes];
        random.nextBytes(buffer);
        return HexFormat.of().formatHex(buffer);
    }

    @Override
    public String toString() {
        return "CallerKey[id=" + id + "]";
    }
}
