package dev.bluebellshunt.core.testing;

import dev.bluebellshunt.core.control.ControlExecutor;
import java.util.ArrayDeque;
import java.util.Deque;

/** Control executor that queues tasks until they are run explicitly. */
public final class ManualControlExecutor implements ControlExecutor {

    private final Deque<Runnable> tasks = new ArrayDeque<>();

    @Override
    public void execute(Runnable next) {
        tasks.add(next);
    }

    public void runAll() {
        for (Runnable next = tasks.poll(); next != null; next = tasks.poll()) {
            next.run();
        }
    }
}
