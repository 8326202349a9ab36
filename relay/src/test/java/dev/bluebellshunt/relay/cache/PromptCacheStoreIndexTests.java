package dev.bluebellshunt.relay.cache;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import dev.bluebellshunt.core.testing.ManualClock;
import dev.bluebellshunt.core.testing.ManualControlExecutor;
import dev.bluebellshunt.relay.store.OperatorState;
import dev.bluebellshunt.relay.store.OperatorStateSystem;
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
    private final PromptCacheStoreIndex store = new PromptCacheStoreIndex(clock);

    private static PromptCacheStoreClient.ChangeBatch news(long epoch, boolean stored, String... parts) {
        List<PromptCacheStoreClient.Change> changes = new ArrayList<>();
        for (String part : parts) {
            changes.add(new PromptCacheStoreClient.Change(stored, "d", part));
        }
        return new PromptCacheStoreClient.ChangeBatch(epoch, changes.size(), changes);
    }

    @Test
    void storedSegmentCanBeFetchedWithinItsDomain() {
        store.applyChanges(ADDRESS, news(1, true, "root"));
        assertThat(store.findSource("d", SEGMENTS), equalTo(Optional.empty()));
        store.applyChanges(ADDRESS, news(1, true, "subject"));
        assertThat(store.findSource("d", SEGMENTS), equalTo(Optional.of(ADDRESS)));
        assertThat(store.findSource("other", SEGMENTS), equalTo(Optional.empty()));
        assertThat(store.findSource("d", List.of()), equalTo(Optional.empty()));
    }

    @Test
    void droppedSegmentIsNotFetched() {
        store.applyChanges(ADDRESS, news(1, true, "root", "subject"));
        store.applyChanges(ADDRESS, news(1, false, "root", "subject"));
        assertThat(store.findSource("d", SEGMENTS), equalTo(Optional.empty()));
        store.applyChanges(ADDRESS, news(1, true, "root", "subject"));
        store.applyChanges(ADDRESS, news(2, true));
        assertThat(store.findSource("d", SEGMENTS), equalTo(Optional.empty()));
    }

    @Test
    void unavailableStoreIsNotUsed() {
        store.applyChanges(ADDRESS, news(1, true, "root", "subject"));
        store.markUnavailable();
        assertThat(store.findSource("d", SEGMENTS), equalTo(Optional.empty()));
        assertThat(store.claimSave("d", "subject"), equalTo(Optional.empty()));
    }

    @Test
    void segmentIsSavedAgainOnlyAfterATimeout() {
        store.applyChanges(ADDRESS, news(1, true));
        assertThat(store.claimSave("d", "subject"), equalTo(Optional.of(ADDRESS)));
        assertThat(store.claimSave("d", "subject"), equalTo(Optional.empty()));
        clock.advance(PromptCacheStoreIndex.SAVE_TIMEOUT.plusMillis(1));
        assertThat(store.claimSave("d", "subject"), equalTo(Optional.of(ADDRESS)));
        store.applyChanges(ADDRESS, news(1, true, "subject"));
        clock.advance(PromptCacheStoreIndex.SAVE_TIMEOUT.plusMillis(1));
        assertThat(store.claimSave("d", "subject"), equalTo(Optional.empty()));
    }

    @Test
    void systemFollowsTheConfiguredStoreAndRestartsAfterAnOutage() {
        ManualControlExecutor control = new ManualControlExecutor();
        FakeSharedStore shared = new FakeSharedStore(clock);
        OperatorStateSystem operators = new OperatorStateSystem(shared, control, clock);
        List<Long> asked = new ArrayList<>();
        List<CompletableFuture<PromptCacheStoreClient.ChangeBatch>> answers = new ArrayList<>();
        PromptCacheStoreSystem system = new PromptCacheStoreSystem(
                (address, since, wait) -> {
                    asked.add(since);
                    CompletableFuture<PromptCacheStoreClient.ChangeBatch> answer = new CompletableFuture<>();
                    answers.add(answer);
                    return answer;
                },
                store,
                operators,
                control,
                clock);
        Runnable step = () -> {
            operators.tick();
            control.runAll();
            clock.advance(Duration.ofSeconds(1));
            system.tick();
            control.runAll();
        };
        step.run();
        assertThat("no store is configured", asked, hasSize(0));
        shared.publish(new OperatorState(0, Configurations.withCacheStore(1, ADDRESS), java.util.Map.of()));
        step.run();
        answers.getLast().complete(news(7, true, "root", "subject"));
        step.run();
        assertThat(asked, equalTo(List.of(0L, 2L)));
        assertThat(store.findSource("d", SEGMENTS), equalTo(Optional.of(ADDRESS)));
        answers.getLast().completeExceptionally(new IllegalStateException("down"));
        step.run();
        assertThat(asked, equalTo(List.of(0L, 2L, 0L)));
        assertThat(store.findSource("d", SEGMENTS), equalTo(Optional.empty()));
    }
}
