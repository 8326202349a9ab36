package dev.bluebellshunt.core.usage;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Accumulates the usage that this process has charged to each workspace. This class is thread-safe. */
public final class UsageLedger {

    private final Map<String, Usage> byWorkspace = new ConcurrentHashMap<>();

    /**
     * Charges an answered request to a workspace.
     *
     * @param workspace the workspace's name
     * @param promptTokens the number of prompt tokens
     * @param generatedTokens the number of generated tokens that the caller received
     */
    public void charge(String workspace, long promptTokens, long generatedTokens) {
        byWorkspace.merge(workspace, new Usage(1, promptTokens, generatedTokens), Usage::plus);
    }

    /**
     * Returns the usage charged since the process started.
     *
     * @return the usage by workspace name
     */
    public Map<String, Usage> snapshot() {
        return new TreeMap<>(byWorkspace);
    }
}
