package dev.bluebellshunt.relay.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.core.testing.ManualClock;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests which engine is selected as the source of a cached prefix, and the exchange of updates between VMs. */
class EngineCacheIndexTests {

    private final ManualClock clock = new ManualClock();
    private final EngineCacheIndex index = new EngineCacheIndex(clock);
    private final LiveTarget first = new LiveTarget(TestTargets.engine("e1", 1), new TargetLoad(clock));
    private final LiveTarget second = new LiveTarget(TestTargets.engine("e2", 1), new TargetLoad(clock));
    private final LiveTarget third = new LiveTarget(TestTargets.engine("e3", 1), new TargetLoad(clock));
    private final List<LiveTarget> pool = List.of(first, second, third);

    @Test
    void longestKnownPrefixDeterminesSource() {
        index.recordCached("e1", "d", List.of("root"));
        index.recordCached("e2", "d", List.of("root", "subject"));
        assertThat(index.findSource(pool, third, "d", List.of("root", "subject")), equalTo(Optional.of(second)));
        assertThat(index.findSource(pool, third, "d", List.of("root", "other")), equalTo(Optional.of(second)));
    }

    @Test
    void noSourceWhenDestinationHasWholePrefix() {
        index.recordCached("e2", "d", List.of("root", "subject"));
        assertThat(index.findSource(pool, second, "d", List.of("root", "subject")), equalTo(Optional.empty()));
    }

    @Test
    void prefixesAreNotSharedBetweenCacheDomains() {
        index.recordCached("e2", "shared/1", List.of("root"));
        assertThat(index.findSource(pool, third, "shared/2", List.of("root")), equalTo(Optional.empty()));
        assertThat(index.findSource(pool, third, "only:w/1", List.of("root")), equalTo(Optional.empty()));
    }

    @Test
    void expiredEntriesAndFailingEnginesAreNoSource() {
        index.recordCached("e2", "d", List.of("root"));
        second.load().requestFailed();
        assertThat(index.findSource(pool, third, "d", List.of("root")), equalTo(Optional.empty()));
        clock.advance(EngineCacheIndex.ENTRY_TTL);
        assertThat(index.findSource(pool, third, "d", List.of("root")), equalTo(Optional.empty()));
    }

    @Test
    void updatesAreSentOnceAndNotForwarded() {
        index.recordCached("e2", "d", List.of("root", "subject"));
        Map<String, Map<String, List<String>>> updates = index.drainUpdates();
        assertThat(index.drainUpdates(), anEmptyMap());
        EngineCacheIndex other = new EngineCacheIndex(clock);
        other.mergeUpdates(updates);
        assertThat(other.findSource(pool, third, "d", List.of("root", "subject")), equalTo(Optional.of(second)));
        assertThat(other.drainUpdates(), anEmptyMap());
        index.recordCached("e2", "d", List.of("root", "subject"));
        assertThat(index.drainUpdates(), anEmptyMap());
    }

    /** Guards against prompts that count as cached although an engine has to compute them, or as long although it has not. */
    @Test
    void leadingSegmentsOfAnyEngineCountAsCached() {
        index.recordCached("e1", "d", List.of("a", "b"));
        assertThat(index.countCached("d", List.of("a", "b", "c")), equalTo(2));
        assertThat(index.countCached("d", List.of("c", "a")), equalTo(0));
        assertThat(index.countCached("other", List.of("a")), equalTo(0));
        clock.advance(EngineCacheIndex.ENTRY_TTL);
        assertThat(index.countCached("d", List.of("a", "b")), equalTo(0));
    }
}
