package dev.bluebellshunt.core.member;

import java.util.List;

/**
 * One side of a gossip exchange.
 *
 * @param from the sender's VM
 * @param members what the sender knows of members, itself included
 * @param storeContactAgeMillis milliseconds since any VM that the sender has heard of reached the
 *     store, or -1 where it knows of none
 */
public record GossipMessage(String from, List<Member> members, long storeContactAgeMillis) {

    public GossipMessage {
        members = List.copyOf(members);
    }
}
