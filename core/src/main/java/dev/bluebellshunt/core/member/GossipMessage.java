package dev.bluebellshunt.core.member;

import java.util.List;
import java.util.Map;

/**
 * One side of a gossip exchange.
 *
 * @param from the sender's VM
 * @param members what the sender knows of members, itself included
 * @param storeContactAgeMillis milliseconds since any VM that the sender has heard of reached the
 *     store, or -1 where it knows of none
 * @param crashStrikes failure domains by crashed target, by the fingerprint of the request
 */
public record GossipMessage(
        String from, List<Member> members, long storeContactAgeMillis, Map<Long, Map<String, String>> crashStrikes) {

    public GossipMessage {
        members = List.copyOf(members);
        crashStrikes = Map.copyOf(crashStrikes);
    }
}
