package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.relay.peer.PeerReportTable;
import dev.bluebellshunt.relay.peer.SpeedSample;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Learns how fast engines are relative to the others of their pool, since nothing on the wire says so.
 *
 * <p>Each VM records the time from sending a request to its first event, relative to the time that the uncached tokens
 * of the request and those ahead of it would take at the assumed speed. The observations of all VMs add up. What slows
 * down all engines of a pool, such as its load, is no property of an engine; speeds are therefore relative to the mean
 * of the pool. Confined to the control thread, except for {@link #record}.
 */
public final class EngineSpeeds implements ControlSystem {

    /**
     * Prefill throughput of an engine of average speed. Pools have 48 to 64; only ratios between engines are learned.
     */
    public static final double TOKENS_PER_MS = 60;

    /** Fixed part of the time to the first event: the link, and a step of running requests. */
    private static final double BASE_MILLIS = 5;

    /**
     * The largest piece of another prompt that an engine finishes first, in any case. Engines do not say whether they
     * have begun one, so that the time of a prompt of about this size says little.
     */
    private static final long CHUNK_TOKENS = 2_048;

    /** Smaller prompts say more about the steps of running requests than about the speed. */
    private static final long MIN_TOKENS = 256;

    /**
     * Weight of the assumption that an engine is as fast as the others. A few responses that were slow for another
     * reason (a cold cache, a stalled fetch, a paused VM) leave the engine at its speed.
     */
    static final double PRIOR_WEIGHT = 4;

    /** A single response counts as at most three times faster or slower. */
    static final double MAX_LOG_RATIO = Math.log(3);

    private static final Logger log = LoggerFactory.getLogger("targets");

    private final TargetDirectory directory;
    private final PeerReportTable peers;
    private final JitteredTimer interval;

    /**
     * Creates a system.
     *
     * @param directory the engines
     * @param peers the observations of the other VMs
     * @param interval the interval at which speeds are computed
     */
    public EngineSpeeds(TargetDirectory directory, PeerReportTable peers, JitteredTimer interval) {
        this.directory = directory;
        this.peers = peers;
        this.interval = interval;
    }

    /**
     * Records the time to the first event of a response. Thread-safe.
     *
     * @param engine the engine
     * @param tokens the tokens of the prompt that were not cached
     * @param tokensAhead the waiting tokens of other requests when the request was sent
     * @param toFirstEvent the time from the send to the first event
     */
    public static void record(LiveTarget engine, long tokens, long tokensAhead, Duration toFirstEvent) {
        if (tokens < MIN_TOKENS) {
            return;
        }
        double expectedMillis = BASE_MILLIS + (tokens + tokensAhead) / TOKENS_PER_MS;
        double millis = Math.max(1, toFirstEvent.toNanos() / 1e6);
        double logRatio = Math.clamp(Math.log(expectedMillis / millis), -MAX_LOG_RATIO, MAX_LOG_RATIO);
        // The requests ahead may have been processed since they were reported, and others may have come. With the plain
        // share as the weight, the queues at high load made equal engines seem different (EngineFleetSimulation).
        double ownShare = tokens / (double) (tokens + tokensAhead + CHUNK_TOKENS);
        engine.load().speed().record(logRatio, ownShare * ownShare);
    }

    /**
     * Counts the engines that are clearly faster or slower than their pool.
     *
     * @param targets the registered targets
     * @return the number of engines
     */
    public static long countDifferent(TargetSnapshot targets) {
        return targets.byPool().values().stream()
                .flatMap(List::stream)
                .filter(engine -> engine.load().speed().factor() != 1)
                .count();
    }

    @Override
    public void tick() {
        if (interval.isDue()) {
            Map<String, SpeedSample> reported = peers.observations().speeds();
            directory.snapshot().byPool().values().forEach(pool -> update(pool, reported));
        }
    }

    /** Computes the speeds of the engines of a pool. */
    static void update(List<LiveTarget> pool, Map<String, SpeedSample> reported) {
        double[] logRatios = new double[pool.size()];
        double[] weights = new double[pool.size()];
        double sum = 0;
        for (int i = 0; i < logRatios.length; i++) {
            LiveTarget engine = pool.get(i);
            SpeedSample sample = engine.load()
                    .speed()
                    .sample()
                    .plus(reported.getOrDefault(engine.entry().incarnation().name(), SpeedSample.NONE));
            logRatios[i] = sample.sumLogRatio() / (sample.weight() + PRIOR_WEIGHT);
            weights[i] = sample.weight();
            sum += logRatios[i];
        }
        for (int i = 0; i < logRatios.length; i++) {
            LiveTarget engine = pool.get(i);
            double logRatio = logRatios[i] - sum / logRatios.length;
            if (engine.load().speed().update(logRatio, weights[i])) {
                log.info(
                        "Engine {} now counts as {} times as fast as its pool; it was observed as {}.",
                        engine.entry().incarnation().name(),
                        String.format("%.2f", engine.load().speed().factor()),
                        String.format("%.2f", Math.exp(logRatio)));
            }
        }
    }
}
