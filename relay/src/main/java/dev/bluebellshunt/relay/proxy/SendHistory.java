package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.relay.model.TargetEntry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The sends of one request: where it was sent, and how many of the targets may have run it.
 *
 * <p>Confined to the thread of the request.
 */
final class SendHistory {

    private final Set<String> triedTargets = new HashSet<>();
    private final Map<String, Integer> sendsByAddress = new HashMap<>();
    private int sends;
    private int possiblyExecuted;
    private int rejected;

    /**
     * Records that the request is about to be sent to a target. Sends count by address, since a target that has started again
     * under another id may be listed twice, and connections are kept by address, whose letters may differ in case.
     *
     * @return the number of its earlier sends to the same address
     */
    int recordSend(TargetEntry target) {
        sends++;
        triedTargets.add(target.id());
        return sendsByAddress.merge(target.address().toLowerCase(Locale.ROOT), 1, Integer::sum) - 1;
    }

    /** Records that a target has run the request, or may have. */
    void recordPossiblyExecuted() {
        possiblyExecuted++;
    }

    /** Records that a send was certainly not run. */
    void recordRejected() {
        rejected++;
    }

    /** Permits another send to a target that has rejected the request for a reason that no longer holds. */
    void permitAgain(String targetId) {
        triedTargets.remove(targetId);
    }

    /** Returns the targets that the request is not sent to again. */
    Set<String> triedTargets() {
        return triedTargets;
    }

    int sends() {
        return sends;
    }

    /** Returns how many targets may have run the request; while it is zero, the request has certainly not run. */
    int possiblyExecuted() {
        return possiblyExecuted;
    }

    int rejected() {
        return rejected;
    }
}
