package dev.bluebellshunt.core.member;

import dev.bluebellshunt.core.check.Check;

/**
 * A router process's description of itself to its peers.
 *
 * @param vm the VM on which it runs
 * @param incarnation start time in milliseconds of wall time; a later incarnation replaces an earlier one
 * @param host its IP address
 * @param peerPort its TCP port for peers
 * @param failureDomain the failure domain of the VM
 * @param version incremented with each change of the description
 * @param leaving whether it is shutting down
 * @param revision the active configuration revision
 */
public record Member(
        String vm,
        long incarnation,
        String host,
        int peerPort,
        String failureDomain,
        long version,
        boolean leaving,
        long revision) {

    public Member {
        Check.requireText(vm, "vm");
        Check.requireText(host, "host");
    }

    /**
     * Returns the member's address for peers.
     *
     * @return the address as {@code host:port}
     */
    public String address() {
        return host + ":" + peerPort;
    }

    /**
     * Returns whether this description is newer than another one of the same VM.
     *
     * @param other the other description
     * @return true if this description replaces the other one
     */
    boolean isNewerThan(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return version > other.version;
    }

    Member withStatus(long newRevision, boolean nowLeaving) {
        if (newRevision == revision && nowLeaving == leaving) {
            return this;
        }
        return new Member(vm, incarnation, host, peerPort, failureDomain, version + 1, nowLeaving, newRevision);
    }
}
