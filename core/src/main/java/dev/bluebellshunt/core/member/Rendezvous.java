package dev.bluebellshunt.core.member;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Rendezvous hashing: each VM works out the same few owners of a thing without a message. */
public final class Rendezvous {

    private Rendezvous() {}

    /**
     * Chooses owners.
     *
     * @param subject the thing to own
     * @param vms the VMs to choose from
     * @param count how many owners at the most
     * @return the owners, first choice first
     */
    public static List<String> owners(String subject, Collection<String> vms, int count) {
        return vms.stream()
                .distinct()
                .sorted(Comparator.comparingLong((String vm) -> score(subject, vm))
                        .thenComparing(vm -> vm))
                .limit(count)
                .toList();
    }

    private static long score(String subject, String vm) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(subject)
                .putString(vm)
                .getAsLong();
    }
}
