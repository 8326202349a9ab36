package dev.bluebellshunt.core.testing;

import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.store.CasResult;
import dev.bluebellshunt.core.store.KeyValueStore;
import dev.bluebellshunt.core.store.StoreEntry;
import dev.bluebellshunt.core.store.StoreException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;

/** A key-value service in memory, with the faults of the real one. */
public final class FakeStore implements KeyValueStore {

    private final SortedMap<String, StoreEntry> entries = new TreeMap<>();
    private final SortedMap<String, StoreEntry> previous = new TreeMap<>();
    private final List<StoreEntry> history = new ArrayList<>();
    private final List<Runnable> delayed = new ArrayList<>();
    private BiPredicate<String, String> loses = (key, value) -> false;
    private BiPredicate<String, String> delays = (key, value) -> false;
    private boolean down;
    private boolean lagging;
    private long revision;
    private int calls;

    public void down(boolean now) {
        down = now;
    }

    /** Reads answer with the revision before the latest one. */
    public void lagging(boolean now) {
        lagging = now;
    }

    /** Reads answer with the latest entry up to a revision. */
    public void laggingAt(long latestRevision) {
        lagging = true;
        previous.clear();
        for (StoreEntry entry : history) {
            if (entry.revision() <= latestRevision) {
                previous.put(entry.key(), entry);
            }
        }
    }

    /** The next write that matches takes effect, and its answer is lost. */
    public void loseAnswerOf(BiPredicate<String, String> match) {
        loses = match;
    }

    /** The next write that matches fails, and takes effect at {@link #releaseDelayed}. */
    public void delayWriteOf(BiPredicate<String, String> match) {
        delays = match;
    }

    public void releaseDelayed() {
        List.copyOf(delayed).forEach(Runnable::run);
        delayed.clear();
    }

    public Optional<StoreEntry> peek(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    public int calls() {
        return calls;
    }

    @Override
    public CompletableFuture<Optional<StoreEntry>> get(String key) {
        calls++;
        if (down) {
            return CompletableFuture.failedFuture(failure(Outcome.UNKNOWN));
        }
        StoreEntry old = previous.get(key);
        return CompletableFuture.completedFuture(
                lagging ? Optional.ofNullable(old) : Optional.ofNullable(entries.get(key)));
    }

    @Override
    public CompletableFuture<CasResult> compareAndSet(String key, String value, long expectedRevision) {
        calls++;
        if (down) {
            return CompletableFuture.failedFuture(failure(Outcome.UNKNOWN));
        }
        if (delays.test(key, value)) {
            delays = (k, v) -> false;
            delayed.add(() -> write(key, value, expectedRevision));
            return CompletableFuture.failedFuture(failure(Outcome.UNKNOWN));
        }
        if (loses.test(key, value)) {
            loses = (k, v) -> false;
            write(key, value, expectedRevision);
            return CompletableFuture.failedFuture(failure(Outcome.UNKNOWN));
        }
        return CompletableFuture.completedFuture(write(key, value, expectedRevision));
    }

    @Override
    public CompletableFuture<Optional<StoreEntry>> watch(String key, long afterRevision) {
        return get(key).thenApply(entry -> entry.filter(e -> e.revision() > afterRevision));
    }

    @Override
    public CompletableFuture<List<StoreEntry>> list(String prefix) {
        calls++;
        if (down) {
            return CompletableFuture.failedFuture(failure(Outcome.UNKNOWN));
        }
        return CompletableFuture.completedFuture(entries.values().stream()
                .filter(entry -> entry.key().startsWith(prefix))
                .toList());
    }

    private CasResult write(String key, String value, long expectedRevision) {
        StoreEntry present = entries.get(key);
        long presentRevision = present == null ? 0 : present.revision();
        if (presentRevision != expectedRevision) {
            return new CasResult.Conflict(presentRevision);
        }
        if (present != null) {
            previous.put(key, present);
        }
        revision++;
        StoreEntry entry = new StoreEntry(key, value, revision);
        entries.put(key, entry);
        history.add(entry);
        return new CasResult.Written(revision);
    }

    private static StoreException failure(Outcome outcome) {
        return new StoreException("store", outcome, "The key-value service did not answer.", null);
    }
}
