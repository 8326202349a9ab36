package dev.bluebellshunt.core.testing;

import dev.bluebellshunt.core.control.ControlExecutor;
import java.util.ArrayDeque;
import java.util.Deque;

/** A control thread that runs its work when it is told to. */
public final class ManualControl implements ControlExecutor {

    private final Deque<Runnable> work = new ArrayDeque<>();

    @Override
    public void execute(Runnable next) {
        work.add(next);
    }

    public void runAll() {
        for (Runnable next = work.poll(); next != null; next = work.poll()) {
            next.run();
        }
    }
}
