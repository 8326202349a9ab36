package dev.bluebellshunt.core.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ControlLoopTests {

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
}
