package dev.bluebellshunt.core.control;

/** A part of the control state that does its work each tick, on the control thread alone. */
@FunctionalInterface
public interface ControlSystem {

    /**
     * Does what is due.
     *
     * <p>A system never blocks: it starts calls and takes their answers on the control thread.
     */
    void tick();
}
