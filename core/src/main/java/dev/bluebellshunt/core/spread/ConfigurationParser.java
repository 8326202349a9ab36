package dev.bluebellshunt.core.spread;

import dev.bluebellshunt.core.model.FleetConfiguration;

/** Parses and validates configuration payloads. */
@FunctionalInterface
public interface ConfigurationParser {

    /**
     * Parses a complete payload.
     *
     * @param payload the payload
     * @return the parsed configuration
     * @throws dev.bluebellshunt.core.error.ShuntException if any part of it is invalid
     */
    FleetConfiguration parse(ConfigurationPayload payload);
}
