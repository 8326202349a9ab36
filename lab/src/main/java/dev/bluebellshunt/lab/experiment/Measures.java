package dev.bluebellshunt.lab.experiment;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What one run measured. */
final class Measures {

    private static final int DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Histogram firstToken = new Histogram(DIGITS);
    private final Map<String, Histogram> byWorkspace = new TreeMap<>();
    private long promptTokens;
    private long cachedTokens;
    private long wastedTokens;
    private long refused;

    void firstToken(String workspace, long nanos, long prompt, long cached, long wasted) {
        firstToken.recordValue(nanos);
        byWorkspace.computeIfAbsent(workspace, w -> new Histogram(DIGITS)).recordValue(nanos);
        promptTokens += prompt;
        cachedTokens += cached;
        wastedTokens += wasted;
    }

    void refused(String workspace) {
        byWorkspace.computeIfAbsent(workspace, w -> new Histogram(DIGITS));
        refused++;
    }

    double hitRate() {
        return cachedTokens / (double) Math.max(1, promptTokens);
    }

    double wastedShare() {
        return wastedTokens / (double) Math.max(1, promptTokens);
    }

    double firstTokenMillis(double percentile) {
        return firstToken.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** The p95 of the workspace that is served worst, the noisy one left out. */
    double worstWorkspaceMillis(String noisy) {
        double worst = 0;
        for (Map.Entry<String, Histogram> entry : byWorkspace.entrySet()) {
            if (!entry.getKey().equals(noisy)) {
                worst = Math.max(worst, entry.getValue().getValueAtPercentile(95) / NANOS_PER_MILLI);
            }
        }
        return worst;
    }

    long count() {
        return firstToken.getTotalCount();
    }

    long refusedCount() {
        return refused;
    }
}
