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

/** Reads and publishes the fleet configuration in the key-value store, for operator commands. */
public final class PublishedConfiguration implements AutoCloseable {

    private final Closer closer = new Closer();
    private final KeyValueStore store;

    /**
     * Creates a client of the key-value store.
     *
     * @param address the address of the key-value service
     */
    public PublishedConfiguration(HostPort address) {
        this.store = new HttpKeyValueStore(
                new JsonHttpClient(HttpClients.start("cli", closer), JsonHttpClient.newMapper(), Step.PUBLISH),
                address.toString());
    }

    PublishedConfiguration(KeyValueStore store) {
        this.store = store;
    }

    /**
     * Reads the current revision.
     *
     * @return the revision with its files, or revision 0 without files if nothing was published
     */
    public Published current() {
        Optional<StoreEntry> entry = await(store.get(ConfigurationSystem.STORE_KEY));
        return entry.map(e -> new Published(e.revision(), ConfigurationBundle.fromJson(e.value())))
                .orElse(new Published(0, new ConfigurationBundle(new TreeMap<>())));
    }

    /**
     * Publishes files if the current revision is the expected one.
     *
     * @param bundle the files
     * @param expectedRevision the revision that the files replace
     * @return the new revision, or a conflict if the current revision is a different one
     */
    public CompareAndSetResult publish(ConfigurationBundle bundle, long expectedRevision) {
        String value = bundle.toJson();
        try {
            return await(store.compareAndSet(ConfigurationSystem.STORE_KEY, value, expectedRevision));
        } catch (StoreException e) {
            if (e.outcome() == Outcome.NOT_RUN) {
                throw e;
            }
            return resolveUnknownOutcome(value, expectedRevision, e);
        }
    }

    /** Determines the result of a write without a response: it succeeded if its value is stored at a later revision. */
    private CompareAndSetResult resolveUnknownOutcome(String value, long expectedRevision, StoreException failure) {
        Optional<StoreEntry> entry = await(store.get(ConfigurationSystem.STORE_KEY));
        long revision = entry.map(StoreEntry::revision).orElse(0L);
        if (revision == expectedRevision) {
            throw failure;
        }
        boolean written = entry.isPresent() && entry.get().value().equals(value);
        return written ? new CompareAndSetResult.Written(revision) : new CompareAndSetResult.Conflict(revision);
    }

    private static <T> T await(CompletableFuture<T> future) {
        try {
            return future.join();
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
     * @param revision the revision number
     * @param bundle the configuration files
     */
    public record Published(long revision, ConfigurationBundle bundle) {}
}
