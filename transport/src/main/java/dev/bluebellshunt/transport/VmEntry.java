package dev.bluebellshunt.transport;

/**
 * A VM as the platform's list shows it. The list lags behind the truth.
 *
 * @param vm the VM's name
 * @param host its IP number
 * @param role {@code router} or {@code target}
 * @param peerPort the TCP port for peers of a router, zero elsewhere
 * @param state {@code live} or {@code leaving}
 */
public record VmEntry(String vm, String host, String role, int peerPort, String state) {

    /**
     * Whether the platform is about to take the VM away.
     *
     * @return true where the list shows it as leaving
     */
    public boolean isLeaving() {
        return "leaving".equals(state);
    }

    /**
     * Whether a router runs on the VM.
     *
     * @return false for VMs of targets
     */
    public boolean isRouter() {
        return "router".equals(role);
    }
}
