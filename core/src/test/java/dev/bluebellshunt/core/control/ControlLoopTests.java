package dev.bluebellshunt.core.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ControlLoopTests {

    private static final long WAIT_SECONDS = 20;

    private final ControlLoop loop = new ControlLoop();

    @AfterEach
    void stop() {
        loop.close();
    }

    /** Guards against a process that ends right after its start, because no thread keeps it alive. */
    @Test
    void threadKeepsProcessAlive() {
        loop.start();
        assertThat(loop.call(() -> Thread.currentThread().isDaemon()), equalTo(false));
    }

    /** Guards against a process that goes on without control ticks after one of them has ended with an error. */
    @Test
    void errorInTickDoesNotEndTicks() throws Exception {
        CountDownLatch ticks = new CountDownLatch(3);
        loop.add(() -> {
            ticks.countDown();
            throw new StackOverflowError("a record in the store is nested too deep");
        });
        loop.start();
        assertThat(ticks.await(WAIT_SECONDS, TimeUnit.SECONDS), equalTo(true));
    }
}
