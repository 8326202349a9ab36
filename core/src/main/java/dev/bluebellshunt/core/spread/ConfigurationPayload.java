package dev.bluebellshunt.core.spread;

/**
 * A configuration revision in its stored and transmitted form.
 *
 * @param revision the revision in the store
 * @param text the operators' files in the stored format
 */
public record ConfigurationPayload(long revision, String text) {

    /** Placeholder used until the first payload is received. */
    public static final ConfigurationPayload NONE = new ConfigurationPayload(0, "");
}
