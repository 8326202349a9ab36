package dev.bluebellshunt.relay.peer;

import java.util.concurrent.CompletableFuture;

/** Sends reports to other VMs. */
public interface ReportClient {

    /**
     * Sends a report.
     *
     * @param address host and port of the other VM
     * @param message the report, and what this VM lacks
     * @return the response; fails if there is none in time, or if the other VM serves no members
     */
    CompletableFuture<ReportReply> send(String address, ReportMessage message);
}
