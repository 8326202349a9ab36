package dev.bluebellshunt.core.member;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Rendezvous hashing: every VM computes the same owners of a key without communication. */
public final class RendezvousHash {

    private RendezvousHash() {}

    /**
     * Selects the owners of a key.
     *
     * @param key the key
     * @param vms the VMs to choose from
     * @param count the maximum number of owners
     * @return the owners in order of preference
     */
    public static List<String> owners(String key, Collection<String> vms, int count) {
        return vms.stream()
                .distinct()
                .sorted(Comparator.comparingLong((String vm) -> score(key, vm)).thenComparing(vm -> vm))
                .limit(count)
                .toList();
    }

    private static long score(String key, String vm) {
        return Hashing.komihash5_0().hashStream().putString(key).putString(vm).getAsLong();
    }
}
