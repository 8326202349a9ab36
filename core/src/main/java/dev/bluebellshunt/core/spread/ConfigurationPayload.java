package dev.bluebellshunt.core.spread;

/**
 * A configuration revision as it is stored and sent.
 *
 * @param revision the store's revision
 * @param text the operators' files in the form that the store holds
 */
public record ConfigurationPayload(long revision, String text) {

    /** The payload of a process that has not yet received one. */
    public static final ConfigurationPayload NONE = new ConfigurationPayload(0, "");
}
