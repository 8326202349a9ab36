package dev.bluebellshunt.core.member;

import dev.bluebellshunt.core.retry.PromptPartReport;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A message of a gossip exchange, sent in each direction.
 *
 * <p>If both sides know the same members, one byte per member with the age of its last heartbeat is
 * enough to tell which of them are alive. Full rows are included only for the sender, for members
 * that changed recently, and in the response to a sender whose members differ.
 *
 * @param from the VM of the sender
 * @param membersHash hash of the VMs and incarnations known to the sender, including its own
 * @param ages time since the last heartbeat of each of them, ordered by VM, one byte each in units
 *     of {@link MemberTable#AGE_UNIT}, in Base64
 * @param rows full member descriptions
 * @param storeContactAgeMillis milliseconds since the last successful store access by any VM, as far
 *     as the sender knows, or -1 if it knows of none
 * @param crashStrikes for each request fingerprint, the failure domains by crashed target
 * @param promptParts the crashes by prompt parts
 */
public record GossipMessage(
        String from,
        long membersHash,
        String ages,
        List<MemberRow> rows,
        long storeContactAgeMillis,
        Map<Long, Map<String, String>> crashStrikes,
        PromptPartReport promptParts) {

    /** Completes the message of an older version, which contains no prompt parts. */
    public GossipMessage {
        rows = List.copyOf(rows);
        crashStrikes = Map.copyOf(crashStrikes);
        promptParts = Objects.requireNonNullElse(promptParts, PromptPartReport.EMPTY);
    }

    /**
     * A member and the age of its last heartbeat.
     *
     * @param member the member
     * @param ageMillis milliseconds since the last heartbeat
     */
    public record MemberRow(Member member, long ageMillis) {}
}
