package dev.bluebellshunt.core.control;

/** A component of the control plane that the control thread calls at each tick. */
@FunctionalInterface
public interface ControlSystem {

    /**
     * Performs the work that is due.
     *
     * <p>Implementations must not block: they start asynchronous calls and handle the results on the control thread.
     */
    void tick();
}
