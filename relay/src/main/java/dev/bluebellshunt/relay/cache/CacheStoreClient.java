package dev.bluebellshunt.relay.cache;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Asks a store of cached prompts what it has taken and dropped. */
public interface CacheStoreClient {

    /**
     * Waits for news.
     *
     * @param address host and port of the store
     * @param since the number of the first news wanted, zero for all that it remembers
     * @param wait how long the store may wait for some
     * @return the news, none where nothing has changed; fails where the store does not answer
     */
    CompletableFuture<News> news(String address, long since, Duration wait);

    /**
     * What has changed.
     *
     * @param epoch changes when the store starts anew, with nothing in it
     * @param next the number of the next news
     * @param changes the changes in order; some may be missing
     */
    record News(long epoch, long next, List<Change> changes) {}

    /**
     * A part of a prompt was taken or dropped.
     *
     * @param stored whether the store has it now
     * @param domain the cache domain
     * @param part the part's id
     */
    record Change(boolean stored, String domain, String part) {}
}
