package dev.bluebellshunt.relay.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.core.testing.ManualClock;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Where an engine can fetch a prefix that another has read. */
class PrefixHoldersTests {

    private final ManualClock clock = new ManualClock();
    private final PrefixHolders holders = new PrefixHolders(clock);
    private final LiveTarget first = new LiveTarget(Targets.engine("e1", 1), new TargetLoad(clock));
    private final LiveTarget second = new LiveTarget(Targets.engine("e2", 1), new TargetLoad(clock));
    private final LiveTarget third = new LiveTarget(Targets.engine("e3", 1), new TargetLoad(clock));
    private final List<LiveTarget> pool = List.of(first, second, third);

    @Test
    void deepestKnownPartNamesTheSource() {
        holders.read("e1", "d", List.of("root"));
        holders.read("e2", "d", List.of("root", "subject"));
        assertThat(holders.source(pool, third, "d", List.of("root", "subject")), equalTo(Optional.of(second)));
        assertThat(holders.source(pool, third, "d", List.of("root", "other")), equalTo(Optional.of(second)));
    }

    @Test
    void engineThatHasItAllFetchesNothing() {
        holders.read("e2", "d", List.of("root", "subject"));
        assertThat(holders.source(pool, second, "d", List.of("root", "subject")), equalTo(Optional.empty()));
    }

    @Test
    void wallsAndWeightsSeparateDomains() {
        holders.read("e2", "shared/1", List.of("root"));
        assertThat(holders.source(pool, third, "shared/2", List.of("root")), equalTo(Optional.empty()));
        assertThat(holders.source(pool, third, "only:w/1", List.of("root")), equalTo(Optional.empty()));
    }

    @Test
    void oldKnowledgeAndFailingEnginesNameNoSource() {
        holders.read("e2", "d", List.of("root"));
        second.load().failed();
        assertThat(holders.source(pool, third, "d", List.of("root")), equalTo(Optional.empty()));
        clock.advance(PrefixHolders.KEPT);
        assertThat(holders.source(pool, third, "d", List.of("root")), equalTo(Optional.empty()));
    }

    @Test
    void newsReachesAnotherVmOnce() {
        holders.read("e2", "d", List.of("root", "subject"));
        Map<String, Map<String, List<String>>> news = holders.takeNews();
        assertThat(holders.takeNews(), anEmptyMap());
        PrefixHolders other = new PrefixHolders(clock);
        other.learn(news);
        assertThat(other.source(pool, third, "d", List.of("root", "subject")), equalTo(Optional.of(second)));
        assertThat(other.takeNews(), anEmptyMap());
        holders.read("e2", "d", List.of("root", "subject"));
        assertThat(holders.takeNews(), anEmptyMap());
    }
}
