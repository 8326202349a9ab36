package dev.bluebellshunt.core.target;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.model.TargetSpec;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Probes each target periodically, with at most one pending probe per target. */
public final class TargetProbeSystem implements ControlSystem {

    /** Mean interval between probes of a target. */
    static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);

    private final TargetTable targets;
    private final TargetProbe probe;
    private final Consumer<String> restartListener;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Map<String, JitteredTimer> timers = new HashMap<>();
    private final Set<String> pendingProbes = new HashSet<>();

    /**
     * Creates the system.
     *
     * @param targets the table of targets
     * @param probe the health check
     * @param restartListener called with the name of each target that restarted as a new incarnation
     * @param control executor of the control thread
     * @param clock the clock
     * @param random the random source for jitter
     */
    public TargetProbeSystem(
            TargetTable targets,
            TargetProbe probe,
            Consumer<String> restartListener,
            ControlExecutor control,
            MonotonicClock clock,
            RandomGenerator random) {
        this.targets = targets;
        this.probe = probe;
        this.restartListener = restartListener;
        this.control = control;
        this.clock = clock;
        this.random = random;
    }

    @Override
    public void tick() {
        for (TargetSpec spec : targets.specs()) {
            JitteredTimer timer =
                    timers.computeIfAbsent(spec.name(), name -> new JitteredTimer(clock, random, PROBE_INTERVAL));
            if (!pendingProbes.contains(spec.name()) && timer.isDue()) {
                sendProbe(spec);
            }
        }
    }

    /**
     * Schedules a probe for the next tick, after a request to the target failed.
     *
     * @param target the target's name
     */
    public void probeAtNextTick(String target) {
        JitteredTimer timer = timers.get(target);
        if (timer != null) {
            timer.triggerNow();
        }
    }

    private void sendProbe(TargetSpec spec) {
        pendingProbes.add(spec.name());
        control.onCompletion(
                probe.probe(spec),
                report -> {
                    pendingProbes.remove(spec.name());
                    if (targets.recordReport(spec.name(), report)) {
                        restartListener.accept(spec.name());
                    }
                },
                failure -> {
                    pendingProbes.remove(spec.name());
                    targets.recordProbeFailure(spec.name());
                });
    }
}
