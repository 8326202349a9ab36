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
 * The system's clock since its boot, which counts the time in which the VM was suspended.
 *
 * <p>{@link System#nanoTime()} may stand still meanwhile, so an age measured with it can be too young.
 */
public final class BootClock implements MonotonicClock {

    /** {@code CLOCK_BOOTTIME} of Linux. */
    private static final int CLOCK_ID = 7;

    private static final long NANOS_OFFSET = 8;

    private final MethodHandle clockGetTime;
    private final MemorySegment time;

    /**
     * Creates a clock.
     *
     * @throws IllegalStateException if the system has no such clock
     */
    @SuppressWarnings("restricted") // the daemon is started with access to native code
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
            failed = (int) clockGetTime.invokeExact(CLOCK_ID, time);
        } catch (Throwable e) {
            throw new IllegalStateException("the boot clock can't be called", e);
        }
        if (failed != 0) {
            throw new IllegalStateException("the system has no boot clock");
        }
        return TimeUnit.SECONDS.toNanos(time.get(ValueLayout.JAVA_LONG, 0))
                + time.get(ValueLayout.JAVA_LONG, NANOS_OFFSET);
    }
}
