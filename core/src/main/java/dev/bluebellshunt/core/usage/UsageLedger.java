package dev.bluebellshunt.core.usage;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Counts what this process has charged to each workspace. Safe for use by many threads. */
public final class UsageLedger {

    private final Map<String, Usage> byWorkspace = new ConcurrentHashMap<>();

    /**
     * Charges an answered request.
     *
     * @param workspace the workspace
     * @param promptTokens tokens of its prompt
     * @param generatedTokens tokens that its caller received
     */
    public void charge(String workspace, long promptTokens, long generatedTokens) {
        byWorkspace.merge(workspace, new Usage(1, promptTokens, generatedTokens), Usage::plus);
    }

    /**
     * What has been charged since the process started.
     *
     * @return usages by workspace
     */
    public Map<String, Usage> snapshot() {
        return new TreeMap<>(byWorkspace);
    }
}
