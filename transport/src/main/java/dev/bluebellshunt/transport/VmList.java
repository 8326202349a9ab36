package dev.bluebellshunt.transport;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Provides access to the platform's list of live and leaving VMs. */
@FunctionalInterface
public interface VmList {

    /**
     * Reads the current list.
     *
     * @return the entries of the list; fails with a {@link dev.bluebellshunt.core.error.ShuntException}
     */
    CompletableFuture<List<VmEntry>> readEntries();
}
