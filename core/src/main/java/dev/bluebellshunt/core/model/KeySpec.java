package dev.bluebellshunt.core.model;

import dev.bluebellshunt.core.check.Check;

/**
 * A caller's key as configured by the operators, with a digest in place of the secret.
 *
 * @param id the public identifier of the key
 * @param workspace the workspace to which it grants access
 * @param salt the salt of the digest, in hexadecimal
 * @param digest the salted SHA-256 digest of the secret, in hexadecimal
 */
public record KeySpec(String id, String workspace, String salt, String digest) {

    public KeySpec {
        Check.requireText(id, "key id");
        Check.requireText(workspace, "workspace of key");
        Check.requireText(salt, "salt of key");
        Check.requireText(digest, "digest of key");
    }
}
