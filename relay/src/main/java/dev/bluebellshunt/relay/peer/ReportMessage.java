package dev.bluebellshunt.relay.peer;

/**
 * Request with which a VM reports to another one and asks for what it lacks.
 *
 * @param report the report
 * @param member whether the sender is a member of the receiver's group, rather than a hub
 * @param wantsState whether the response is to contain the operators' state and the targets
 * @param configurationVersion the version of the configuration that the sender has, zero for none
 * @param process the process from which the sender has what the following fields tell, empty for none
 * @param listing the number of the listing of targets that the sender has
 * @param prefixes the number of updates of cached prefixes that the sender has
 * @param cacheStoreChanges the number of changes of the prompt cache store that the sender has
 */
public record ReportMessage(
        PeerReport report,
        boolean member,
        boolean wantsState,
        long configurationVersion,
        String process,
        long listing,
        long prefixes,
        long cacheStoreChanges) {}
