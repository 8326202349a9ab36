package dev.bluebellshunt.lab.experiment;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Metrics of one simulation run. */
final class RunMetrics {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Histogram firstTokenNanos = new Histogram(SIGNIFICANT_DIGITS);
    private final Map<String, Histogram> firstTokenNanosByWorkspace = new TreeMap<>();
    private long promptTokens;
    private long cachedTokens;
    private long avoidableMissTokens;
    private long refusedCount;

    /**
     * Records a request that received its first token.
     *
     * @param workspace the workspace of the request
     * @param nanos the time to first token
     * @param prompt the number of prompt tokens
     * @param cached the number of prompt tokens in the prefix cache of the selected engine
     * @param avoidableMisses the number of additional tokens that the engine with the longest cached prefix had
     */
    void recordFirstToken(String workspace, long nanos, long prompt, long cached, long avoidableMisses) {
        firstTokenNanos.recordValue(nanos);
        firstTokenNanosByWorkspace
                .computeIfAbsent(workspace, w -> new Histogram(SIGNIFICANT_DIGITS))
                .recordValue(nanos);
        promptTokens += prompt;
        cachedTokens += cached;
        avoidableMissTokens += avoidableMisses;
    }

    void recordRefusal(String workspace) {
        firstTokenNanosByWorkspace.computeIfAbsent(workspace, w -> new Histogram(SIGNIFICANT_DIGITS));
        refusedCount++;
    }

    double hitRate() {
        return cachedTokens / (double) Math.max(1, promptTokens);
    }

    double avoidableMissFraction() {
        return avoidableMissTokens / (double) Math.max(1, promptTokens);
    }

    double firstTokenMillis(double percentile) {
        return firstTokenNanos.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** Returns the highest 95th percentile time to first token of any workspace except the excluded one. */
    double worstWorkspaceP95Millis(String excludedWorkspace) {
        double worst = 0;
        for (Map.Entry<String, Histogram> entry : firstTokenNanosByWorkspace.entrySet()) {
            if (!entry.getKey().equals(excludedWorkspace)) {
                worst = Math.max(worst, entry.getValue().getValueAtPercentile(95) / NANOS_PER_MILLI);
            }
        }
        return worst;
    }

    long count() {
        return firstTokenNanos.getTotalCount();
    }

    long refusedCount() {
        return refusedCount;
    }
}
