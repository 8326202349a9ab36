package dev.bluebellshunt.core.spread;

import dev.bluebellshunt.core.model.FleetConfiguration;

/** Reads a payload. */
@FunctionalInterface
public interface ConfigurationParser {

    /**
     * Reads a payload whole.
     *
     * @param payload the payload
     * @return the revision that it holds
     * @throws dev.bluebellshunt.core.error.ShuntException if any part of it is invalid
     */
    FleetConfiguration parse(ConfigurationPayload payload);
}
