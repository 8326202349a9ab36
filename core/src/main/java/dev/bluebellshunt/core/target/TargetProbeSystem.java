package dev.bluebellshunt.core.target;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.Every;
import dev.bluebellshunt.core.model.TargetSpec;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Asks each target how it is, one question at a time. */
public final class TargetProbeSystem implements ControlSystem {

    /** Mean time between two questions to one target. */
    static final Duration INTERVAL = Duration.ofSeconds(1);

    private final TargetTable targets;
    private final TargetProbe probe;
    private final Consumer<String> restarted;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Map<String, Every> timers = new HashMap<>();
    private final Set<String> pending = new HashSet<>();

    /**
     * Creates the system.
     *
     * @param targets the table of targets
     * @param probe asks a target
     * @param restarted is told of each target that came back as a new incarnation
     * @param control runs work on the control thread
     * @param clock the clock to read
     * @param random the source of jitter
     */
    public TargetProbeSystem(
            TargetTable targets,
            TargetProbe probe,
            Consumer<String> restarted,
            ControlExecutor control,
            MonotonicClock clock,
            RandomGenerator random) {
        this.targets = targets;
        this.probe = probe;
        this.restarted = restarted;
        this.control = control;
        this.clock = clock;
        this.random = random;
    }

    @Override
    public void tick() {
        for (TargetSpec spec : targets.specs()) {
            Every timer = timers.computeIfAbsent(spec.name(), name -> new Every(clock, random, INTERVAL));
            if (!pending.contains(spec.name()) && timer.isDue()) {
                ask(spec);
            }
        }
    }

    /**
     * Asks a target at the next tick, after a traffic thread saw it fail.
     *
     * @param target the target's name
     */
    public void hurry(String target) {
        Every timer = timers.get(target);
        if (timer != null) {
            timer.hurry();
        }
    }

    private void ask(TargetSpec spec) {
        pending.add(spec.name());
        control.await(
                probe.probe(spec),
                report -> {
                    pending.remove(spec.name());
                    if (targets.reported(spec.name(), report)) {
                        restarted.accept(spec.name());
                    }
                },
                failure -> {
                    pending.remove(spec.name());
                    targets.unreachable(spec.name());
                });
    }
}
