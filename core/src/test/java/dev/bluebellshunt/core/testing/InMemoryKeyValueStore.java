package dev.bluebellshunt.core.testing;

import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.store.CompareAndSetResult;
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

/** In-memory key-value store that can simulate the faults of the real one. */
public final class InMemoryKeyValueStore implements KeyValueStore {

    private final SortedMap<String, StoreEntry> entries = new TreeMap<>();
    private final SortedMap<String, StoreEntry> previousEntries = new TreeMap<>();
    private final List<StoreEntry> history = new ArrayList<>();
    private final List<Runnable> delayedWrites = new ArrayList<>();
    private BiPredicate<String, String> lostAnswerMatcher = (key, value) -> false;
    private BiPredicate<String, String> delayedWriteMatcher = (key, value) -> false;
    private boolean setDown;
    private boolean setLagging;
    private long revision;
    private int calls;

    public void setDown(boolean now) {
        setDown = now;
    }

    /** Sets whether reads return the revision before the latest one. */
    public void setLagging(boolean now) {
        setLagging = now;
    }

    /** Makes reads return the latest entry up to a revision. */
    public void setLaggingAt(long latestRevision) {
        setLagging = true;
        previousEntries.clear();
        for (StoreEntry entry : history) {
            if (entry.revision() <= latestRevision) {
                previousEntries.put(entry.key(), entry);
            }
        }
    }

    /** Lets the next matching write take effect but drops its response. */
    public void loseNextAnswer(BiPredicate<String, String> match) {
        lostAnswerMatcher = match;
    }

    /** Makes the next matching write fail, and take effect at {@link #applyDelayedWrites}. */
    public void delayNextWrite(BiPredicate<String, String> match) {
        delayedWriteMatcher = match;
    }

    public void applyDelayedWrites() {
        List.copyOf(delayedWrites).forEach(Runnable::run);
        delayedWrites.clear();
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
        if (setDown) {
            return CompletableFuture.failedFuture(failure(Outcome.UNKNOWN));
        }
        StoreEntry old = previousEntries.get(key);
        return CompletableFuture.completedFuture(
                setLagging ? Optional.ofNullable(old) : Optional.ofNullable(entries.get(key)));
    }

    @Override
    public CompletableFuture<CompareAndSetResult> compareAndSet(String key, String value, long expectedRevision) {
        calls++;
        if (setDown) {
            return CompletableFuture.failedFuture(failure(Outcome.UNKNOWN));
        }
        if (delayedWriteMatcher.test(key, value)) {
            delayedWriteMatcher = (k, v) -> false;
            delayedWrites.add(() -> write(key, value, expectedRevision));
            return CompletableFuture.failedFuture(failure(Outcome.UNKNOWN));
        }
        if (lostAnswerMatcher.test(key, value)) {
            lostAnswerMatcher = (k, v) -> false;
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
        if (setDown) {
            return CompletableFuture.failedFuture(failure(Outcome.UNKNOWN));
        }
        return CompletableFuture.completedFuture(entries.values().stream()
                .filter(entry -> entry.key().startsWith(prefix))
                .toList());
    }

    private CompareAndSetResult write(String key, String value, long expectedRevision) {
        StoreEntry present = entries.get(key);
        long presentRevision = present == null ? 0 : present.revision();
        if (presentRevision != expectedRevision) {
            return new CompareAndSetResult.Conflict(presentRevision);
        }
        if (present != null) {
            previousEntries.put(key, present);
        }
        revision++;
        StoreEntry entry = new StoreEntry(key, value, revision);
        entries.put(key, entry);
        history.add(entry);
        return new CompareAndSetResult.Written(revision);
    }

    private static StoreException failure(Outcome outcome) {
        return new StoreException("store", outcome, "The key-value service did not answer.", null);
    }
}
