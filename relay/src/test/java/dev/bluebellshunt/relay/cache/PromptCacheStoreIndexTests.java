package dev.bluebellshunt.relay.cache;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import dev.bluebellshunt.relay.store.OperatorState;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
import dev.bluebellshunt.relay.store.RevisionTimes;
import dev.bluebellshunt.relay.store.StoreRevision;
import dev.bluebellshunt.relay.testing.Configurations;
import dev.bluebellshunt.relay.testing.FakeSharedStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tracking of the segments that the prompt cache store holds, through evictions, restarts and outages. */
class PromptCacheStoreIndexTests {

    private static final String ADDRESS = "10.0.0.9:80";
    private static final List<String> SEGMENTS = List.of("root", "subject");

    private final ManualClock clock = new ManualClock();
    private final PromptCacheStoreIndex index = new PromptCacheStoreIndex(clock);

    private static PromptCacheStoreClient.ChangeBatch changeBatch(long epoch, boolean stored, String... segments) {
        List<PromptCacheStoreClient.Change> changes = new ArrayList<>();
        for (String segment : segments) {
            changes.add(new PromptCacheStoreClient.Change(stored, "d", segment));
        }
        return new PromptCacheStoreClient.ChangeBatch(epoch, changes.size(), changes);
    }

    @Test
    void storedSegmentCanBeFetchedWithinItsDomain() {
        index.applyChanges(ADDRESS, changeBatch(1, true, "root"));
        assertThat(index.findSource("d", SEGMENTS), equalTo(Optional.empty()));
        index.applyChanges(ADDRESS, changeBatch(1, true, "subject"));
        assertThat(index.findSource("d", SEGMENTS), equalTo(Optional.of(ADDRESS)));
        assertThat(index.findSource("other", SEGMENTS), equalTo(Optional.empty()));
        assertThat(index.findSource("d", List.of()), equalTo(Optional.empty()));
    }

    @Test
    void evictedSegmentIsNotFetched() {
        index.applyChanges(ADDRESS, changeBatch(1, true, "root", "subject"));
        index.applyChanges(ADDRESS, changeBatch(1, false, "root", "subject"));
        assertThat(index.findSource("d", SEGMENTS), equalTo(Optional.empty()));
        index.applyChanges(ADDRESS, changeBatch(1, true, "root", "subject"));
        index.applyChanges(ADDRESS, changeBatch(2, true));
        assertThat(index.findSource("d", SEGMENTS), equalTo(Optional.empty()));
    }

    @Test
    void unavailableStoreIsNotUsed() {
        index.applyChanges(ADDRESS, changeBatch(1, true, "root", "subject"));
        index.markUnavailable();
        assertThat(index.findSource("d", SEGMENTS), equalTo(Optional.empty()));
        assertThat(index.claimSave("d", "subject"), equalTo(Optional.empty()));
    }

    @Test
    void unconfirmedSaveIsRepeatedAfterTimeout() {
        index.applyChanges(ADDRESS, changeBatch(1, true));
        assertThat(index.claimSave("d", "subject"), equalTo(Optional.of(ADDRESS)));
        assertThat(index.claimSave("d", "subject"), equalTo(Optional.empty()));
        clock.advance(PromptCacheStoreIndex.SAVE_TIMEOUT.plusMillis(1));
        assertThat(index.claimSave("d", "subject"), equalTo(Optional.of(ADDRESS)));
        index.applyChanges(ADDRESS, changeBatch(1, true, "subject"));
        clock.advance(PromptCacheStoreIndex.SAVE_TIMEOUT.plusMillis(1));
        assertThat(index.claimSave("d", "subject"), equalTo(Optional.empty()));
    }

    /** Copies the changes since the given number, and returns the number of changes that the copy has now. */
    private long copyTo(PromptCacheStoreIndex copy, long since) {
        IndexChanges changes = index.changesSince(since);
        copy.copy(changes);
        return changes.next();
    }

    @Test
    void copyFollowsChangesRestartsAndOutages() {
        PromptCacheStoreIndex copy = new PromptCacheStoreIndex(clock);
        index.applyChanges(ADDRESS, changeBatch(1, true, "root"));
        long has = copyTo(copy, 0);
        index.applyChanges(ADDRESS, changeBatch(1, true, "subject"));
        assertThat("only the changes are sent", index.changesSince(has).batches(), hasSize(1));
        has = copyTo(copy, has);
        assertThat(copy.findSource("d", SEGMENTS), equalTo(Optional.of(ADDRESS)));
        index.markUnavailable();
        has = copyTo(copy, has);
        assertThat(copy.findSource("d", SEGMENTS), equalTo(Optional.empty()));
        index.applyChanges(ADDRESS, changeBatch(2, true, "root"));
        has = copyTo(copy, has);
        assertThat("the restarted store has lost a segment", copy.findSource("d", SEGMENTS), equalTo(Optional.empty()));
        index.applyChanges(ADDRESS, changeBatch(2, true, "subject"));
        copyTo(copy, has);
        assertThat(copy.findSource("d", SEGMENTS), equalTo(Optional.of(ADDRESS)));
    }

    /** Guards against a copy that keeps segments whose removal it has missed. */
    @Test
    void copyThatHasMissedChangesGetsTheWholeContent() {
        PromptCacheStoreIndex copy = new PromptCacheStoreIndex(clock);
        index.applyChanges(ADDRESS, changeBatch(1, true, "root", "subject"));
        long has = copyTo(copy, 0);
        index.applyChanges(ADDRESS, changeBatch(1, false, "root"));
        for (int i = 0; i < 3_000; i++) {
            index.applyChanges(ADDRESS, changeBatch(1, true, "other-" + i));
        }
        copyTo(copy, has);
        assertThat(copy.findSource("d", SEGMENTS), equalTo(Optional.empty()));
        assertThat(copy.findSource("d", List.of("subject", "other-2999")), equalTo(Optional.of(ADDRESS)));
    }

    @Test
    void systemPollsConfiguredStoreAndReadsAllChangesAfterOutage() {
        ManualControlExecutor control = new ManualControlExecutor();
        FakeSharedStore shared = new FakeSharedStore(clock);
        OperatorStateSystem operators =
                new OperatorStateSystem(shared, control, clock, () -> false, new RevisionTimes());
        List<Long> requestedSince = new ArrayList<>();
        List<CompletableFuture<PromptCacheStoreClient.ChangeBatch>> responses = new ArrayList<>();
        PromptCacheStoreSystem system = new PromptCacheStoreSystem(
                (address, since, wait) -> {
                    requestedSince.add(since);
                    CompletableFuture<PromptCacheStoreClient.ChangeBatch> response = new CompletableFuture<>();
                    responses.add(response);
                    return response;
                },
                index,
                operators,
                control,
                clock,
                () -> false);
        Runnable step = () -> {
            operators.tick();
            control.runAll();
            clock.advance(Duration.ofSeconds(1));
            system.tick();
            control.runAll();
        };
        step.run();
        assertThat("no store is configured", requestedSince, hasSize(0));
        shared.publish(
                new OperatorState(StoreRevision.NONE, Configurations.withCacheStore(1, ADDRESS), java.util.Map.of()));
        step.run();
        responses.getLast().complete(changeBatch(7, true, "root", "subject"));
        step.run();
        assertThat(requestedSince, equalTo(List.of(0L, 2L)));
        assertThat(index.findSource("d", SEGMENTS), equalTo(Optional.of(ADDRESS)));
        responses.getLast().completeExceptionally(new IllegalStateException("the store is unavailable"));
        step.run();
        assertThat(requestedSince, equalTo(List.of(0L, 2L, 0L)));
        assertThat(index.findSource("d", SEGMENTS), equalTo(Optional.empty()));
    }
}
