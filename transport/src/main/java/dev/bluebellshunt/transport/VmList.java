package dev.bluebellshunt.transport;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of live and leaving VMs. */
@FunctionalInterface
public interface VmList {

    /**
     * Reads the list.
     *
     * @return its entries; fails with a {@link dev.bluebellshunt.core.error.ShuntException}
     */
    CompletableFuture<List<VmEntry>> read();
}
