package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.relay.target.TargetUse;
import java.util.Map;

/**
 * What a VM has under way.
 *
 * @param vm its name
 * @param sequence grows with each report of a process
 * @param uses what is under way at each target by its id; idle targets are left out
 */
public record PeerReport(String vm, long sequence, Map<String, TargetUse> uses) {}
