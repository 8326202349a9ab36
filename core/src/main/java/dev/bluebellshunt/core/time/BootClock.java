package dev.bluebellshunt.core.time;

import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemoryLayout;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import java.util.concurrent.TimeUnit;

/**
 * Monotonic clock that includes the time during which the VM was suspended.
 *
 * <p>{@link System#nanoTime()} may stop during a suspension, so an age measured with it can be too low.
 */
public final class BootClock implements MonotonicClock {

    /** Value of {@code CLOCK_BOOTTIME} on Linux. */
    private static final int CLOCK_BOOTTIME = 7;

    private static final long NANOS_FIELD_OFFSET = 8;

    private final MethodHandle clockGetTime;
    private final MemorySegment time;

    /**
     * Creates a clock.
     *
     * @throws IllegalStateException if the system does not support this clock
     */
    @SuppressWarnings("restricted") // the daemon is started with native access enabled
    public BootClock() {
        Linker linker = Linker.nativeLinker();
        this.clockGetTime = linker.downcallHandle(
                linker.defaultLookup().findOrThrow("clock_gettime"),
                FunctionDescriptor.of(ValueLayout.JAVA_INT, ValueLayout.JAVA_INT, ValueLayout.ADDRESS));
        this.time = Arena.global().allocate(MemoryLayout.structLayout(ValueLayout.JAVA_LONG, ValueLayout.JAVA_LONG));
        nanos();
    }

    @Override
    public synchronized long nanos() {
        int failed;
        try {
            failed = (int) clockGetTime.invokeExact(CLOCK_BOOTTIME, time);
        } catch (Throwable e) {
            throw new IllegalStateException("failed to call clock_gettime", e);
        }
        if (failed != 0) {
            throw new IllegalStateException("CLOCK_BOOTTIME is not available on this system");
        }
        return TimeUnit.SECONDS.toNanos(time.get(ValueLayout.JAVA_LONG, 0))
                + time.get(ValueLayout.JAVA_LONG, NANOS_FIELD_OFFSET);
    }
}
