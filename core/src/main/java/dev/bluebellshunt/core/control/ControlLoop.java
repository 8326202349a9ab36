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

/** Single-threaded event loop that owns the control state and calls the control systems periodically. */
public final class ControlLoop implements ControlExecutor, AutoCloseable {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(2);
    private static final Logger log = LoggerFactory.getLogger("control");

    private final ScheduledThreadPoolExecutor executor;
    private final List<ControlSystem> systems = new ArrayList<>();
    private volatile @Nullable ScheduledFuture<?> tickSchedule;

    /** Creates the loop; ticks begin with {@link #start()}. */
    public ControlLoop() {
        // The threads of all servers and clients are daemons, so this one keeps the process alive.
        this.executor = new ScheduledThreadPoolExecutor(
                1, Thread.ofPlatform().name("control").daemon(false).factory());
    }

    /**
     * Adds a system. Must be called before {@link #start()}.
     *
     * @param system the system
     */
    public void add(ControlSystem system) {
        systems.add(system);
    }

    /** Starts calling the systems. */
    public void start() {
        tickSchedule = executor.scheduleWithFixedDelay(this::tick, 0, TICK_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void tick() {
        for (ControlSystem system : systems) {
            try {
                system.tick();
            } catch (RuntimeException | Error e) {
                // An exception that leaves this method ends all ticks.
                log.error("Control system {} failed.", system.getClass().getSimpleName(), e);
            }
        }
    }

    @Override
    public void execute(Runnable task) {
        try {
            executor.execute(() -> runLoggingFailure(task));
        } catch (RejectedExecutionException e) {
            log.debug("Ignoring a task submitted after shutdown.");
        }
    }

    private static void runLoggingFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            log.error("A task on the control thread failed.", e);
        }
    }

    /**
     * Runs a task on the control thread and waits for its result.
     *
     * @param task the task
     * @param <T> the type of the result
     * @return the result
     */
    public <T> T call(Supplier<T> task) {
        CompletableFuture<T> result = CompletableFuture.supplyAsync(task, executor);
        try {
            return result.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for the control thread", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("the task on the control thread failed", e);
        }
    }

    @Override
    public void close() {
        ScheduledFuture<?> scheduled = tickSchedule;
        if (scheduled != null) {
            scheduled.cancel(false);
        }
        executor.shutdown();
        try {
            executor.awaitTermination(SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
