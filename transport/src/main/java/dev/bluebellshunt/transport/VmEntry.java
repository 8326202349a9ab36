package dev.bluebellshunt.transport;

/**
 * A VM in the platform's list. The list lags behind the actual state.
 *
 * @param vm the VM's name
 * @param host its IP address
 * @param role {@code router} or {@code target}
 * @param peerPort the TCP port for peers if the VM runs a router, otherwise zero
 * @param state {@code live} or {@code leaving}
 */
public record VmEntry(String vm, String host, String role, int peerPort, String state) {

    /**
     * Returns whether the platform is about to terminate the VM.
     *
     * @return true if the list marks the VM as leaving
     */
    public boolean isLeaving() {
        return "leaving".equals(state);
    }

    /**
     * Returns whether a router runs on the VM.
     *
     * @return true for a router, false for a target
     */
    public boolean isRouter() {
        return "router".equals(role);
    }
}
