package dev.bluebellshunt.core.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The one thread that owns the control state, and ticks the systems over it. */
public final class ControlLoop implements ControlExecutor, AutoCloseable {

    /** Time between two ticks. */
    private static final Duration TICK = Duration.ofMillis(50);

    private static final Duration STOP_WAIT = Duration.ofSeconds(2);
    private static final Logger log = LoggerFactory.getLogger("control");

    private final ScheduledThreadPoolExecutor executor;
    private final List<ControlSystem> systems = new ArrayList<>();
    private volatile @Nullable ScheduledFuture<?> ticks;

    /** Creates the thread; it ticks once started. */
    public ControlLoop() {
        this.executor = new ScheduledThreadPoolExecutor(
                1, Thread.ofPlatform().name("control").daemon().factory());
    }

    /**
     * Adds a system, before the start.
     *
     * @param system the system
     */
    public void add(ControlSystem system) {
        systems.add(system);
    }

    /** Starts to tick. */
    public void start() {
        ticks = executor.scheduleWithFixedDelay(this::tick, 0, TICK.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void tick() {
        for (ControlSystem system : systems) {
            try {
                system.tick();
            } catch (RuntimeException e) {
                log.error("The system {} failed.", system.getClass().getSimpleName(), e);
            }
        }
    }

    @Override
    public void execute(Runnable work) {
        try {
            executor.execute(() -> run(work));
        } catch (RejectedExecutionException e) {
            log.debug("Work came after the stop.");
        }
    }

    private static void run(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            log.error("Work on the control thread failed.", e);
        }
    }

    /**
     * Runs work on the control thread and waits for its value.
     *
     * @param work the work
     * @param <T> the type of the value
     * @return the value
     */
    public <T> T call(Supplier<T> work) {
        CompletableFuture<T> value = CompletableFuture.supplyAsync(work, executor);
        try {
            return value.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for the control thread", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("work on the control thread failed", e);
        }
    }

    @Override
    public void close() {
        ScheduledFuture<?> scheduled = ticks;
        if (scheduled != null) {
            scheduled.cancel(false);
        }
        executor.shutdown();
        try {
            executor.awaitTermination(STOP_WAIT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
