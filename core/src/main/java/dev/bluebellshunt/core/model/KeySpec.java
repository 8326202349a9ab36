package dev.bluebellshunt.core.model;

import dev.bluebellshunt.core.check.Check;

/**
 * A caller's key as the operators keep it: never the secret itself.
 *
 * @param id the public part of the key
 * @param workspace the workspace that it opens
 * @param salt the salt of the digest, in hexadecimal
 * @param digest the salted SHA-256 digest of the secret, in hexadecimal
 */
public record KeySpec(String id, String workspace, String salt, String digest) {

    public KeySpec {
        Check.hasText(id, "key id");
        Check.hasText(workspace, "workspace of key");
        Check.hasText(salt, "salt of key");
        Check.hasText(digest, "digest of key");
    }
}
