package dev.bluebellshunt.core.member;

import java.util.List;
import java.util.Map;

/**
 * One side of a gossip exchange.
 *
 * <p>Where both sides know the same members, one byte of age for each says which of them live; whole
 * rows travel only for the sender, for members that changed lately, and in an answer to a sender that
 * knows other members.
 *
 * @param from the sender's VM
 * @param membersHash the hash of the VMs and incarnations that the sender knows, itself included
 * @param ages how long ago each of them was last heard, in the order of the VMs, one byte each in units
 *     of {@link MemberTable#AGE_UNIT}, in Base64
 * @param rows members in whole
 * @param storeContactAgeMillis milliseconds since any VM that the sender has heard of reached the
 *     store, or -1 where it knows of none
 * @param crashStrikes failure domains by crashed target, by the fingerprint of the request
 */
public record GossipMessage(
        String from,
        long membersHash,
        String ages,
        List<MemberRow> rows,
        long storeContactAgeMillis,
        Map<Long, Map<String, String>> crashStrikes) {

    public GossipMessage {
        rows = List.copyOf(rows);
        crashStrikes = Map.copyOf(crashStrikes);
    }

    /**
     * A member and when it was last heard.
     *
     * @param member the member
     * @param ageMillis how long ago
     */
    public record MemberRow(Member member, long ageMillis) {}
}
