package dev.bluebellshunt.cli;

import dev.bluebellshunt.configuration.ConfigurationBundle;
import dev.bluebellshunt.configuration.HostPort;
import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.spread.ConfigurationSystem;
import dev.bluebellshunt.core.store.CompareAndSetResult;
import dev.bluebellshunt.core.store.KeyValueStore;
import dev.bluebellshunt.core.store.StoreEntry;
import dev.bluebellshunt.core.store.StoreException;
import dev.bluebellshunt.transport.HttpClients;
import dev.bluebellshunt.transport.HttpKeyValueStore;
import dev.bluebellshunt.transport.JsonHttpClient;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** The configuration in the store, as operators' commands read and write it. */
public final class PublishedConfiguration implements AutoCloseable {

    private final Closer closer = new Closer();
    private final KeyValueStore store;

    /**
     * Opens the store.
     *
     * @param address the key-value service
     */
    public PublishedConfiguration(HostPort address) {
        this.store = new HttpKeyValueStore(
                new JsonHttpClient(HttpClients.start("cli", closer), JsonHttpClient.mapper(), Step.PUBLISH),
                address.toString());
    }

    PublishedConfiguration(KeyValueStore store) {
        this.store = store;
    }

    /**
     * Reads the current revision.
     *
     * @return the revision with its files; revision zero where nothing was published
     */
    public Published current() {
        Optional<StoreEntry> entry = await(store.get(ConfigurationSystem.STORE_KEY));
        return entry.map(e -> new Published(e.revision(), ConfigurationBundle.fromStored(e.value())))
                .orElse(new Published(0, new ConfigurationBundle(new TreeMap<>())));
    }

    /**
     * Publishes files in place of a revision.
     *
     * @param bundle the files
     * @param expected the revision that they replace
     * @return the new revision, or a conflict where another change came first
     */
    public CompareAndSetResult publish(ConfigurationBundle bundle, long expected) {
        String text = bundle.toStored();
        try {
            return await(store.compareAndSet(ConfigurationSystem.STORE_KEY, text, expected));
        } catch (StoreException e) {
            if (e.outcome() == Outcome.NOT_RUN) {
                throw e;
            }
            return afterLostAnswer(text, expected, e);
        }
    }

    /** A write whose answer was lost took effect if its text is there under a later revision. */
    private CompareAndSetResult afterLostAnswer(String text, long expected, StoreException lost) {
        Optional<StoreEntry> entry = await(store.get(ConfigurationSystem.STORE_KEY));
        long revision = entry.map(StoreEntry::revision).orElse(0L);
        if (revision == expected) {
            throw lost;
        }
        boolean mine = entry.isPresent() && entry.get().value().equals(text);
        return mine ? new CompareAndSetResult.Written(revision) : new CompareAndSetResult.Conflict(revision);
    }

    private static <T> T await(CompletableFuture<T> answer) {
        try {
            return answer.join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof RuntimeException cause) {
                throw cause;
            }
            throw e;
        }
    }

    @Override
    public void close() {
        closer.close();
    }

    /**
     * A published revision.
     *
     * @param revision its number
     * @param bundle its files
     */
    public record Published(long revision, ConfigurationBundle bundle) {}
}
