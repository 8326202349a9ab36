package dev.bluebellshunt.core.member;

import dev.bluebellshunt.core.check.Check;

/**
 * A router process as it describes itself to its peers.
 *
 * @param vm the VM on which it runs
 * @param incarnation milliseconds of wall time at its start; a later start replaces an earlier one
 * @param host its IP number
 * @param peerPort its TCP port for peers
 * @param failureDomain the failure domain in which it stands
 * @param version grows with each change of the description
 * @param leaving whether it is shutting down
 * @param revision the configuration revision that it has in force
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
        Check.hasText(vm, "vm");
        Check.hasText(host, "host");
    }

    /**
     * The member's address for peers.
     *
     * @return host and port with a colon between them
     */
    public String address() {
        return host + ":" + peerPort;
    }

    /**
     * Whether this description is later than another of the same VM.
     *
     * @param other the other description
     * @return true where this one replaces it
     */
    boolean isNewerThan(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return version > other.version;
    }

    Member changed(long newRevision, boolean nowLeaving) {
        if (newRevision == revision && nowLeaving == leaving) {
            return this;
        }
        return new Member(vm, incarnation, host, peerPort, failureDomain, version + 1, nowLeaving, newRevision);
    }
}
