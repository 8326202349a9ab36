package dev.bluebellshunt.relay.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.relay.testing.Configurations;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which workspaces share cached prompts while operators change which of them are dedicated. */
class CacheScopeTests {

    private static final int CHANGES = 300;
    private static final int VMS = 4;
    private static final Set<String> ALL = Set.of("a", "b", "c", "d");

    private static RelayConfiguration configuration(Set<String> names, Set<String> dedicated) {
        return Configurations.withWorkspaces(1, names, dedicated);
    }

    private static RelayConfiguration configuration(Set<String> dedicated) {
        return configuration(ALL, dedicated);
    }

    /** Guards against prompts of a workspace that became dedicated, which the others still find. */
    @Test
    void workspaceThatBecomesDedicatedLeavesItsPromptsBehind() {
        RelayConfiguration before = configuration(Set.of());
        RelayConfiguration after = configuration(Set.of("a"));
        assertThat(before.cacheScope("b"), equalTo(before.cacheScope("a")));
        assertThat(after.cacheScope("b"), not(equalTo(before.cacheScope("a"))));
        assertThat(after.cacheScope("a"), not(equalTo(before.cacheScope("b"))));
        assertThat(after.cacheScope(null), equalTo(after.cacheScope("b")));
    }

    /** Guards against shared prompts that are computed again although no workspace's isolation has changed. */
    @Test
    void otherChangesKeepSharedPrompts() {
        RelayConfiguration before = configuration(Set.of("a"));
        assertThat(configuration(Set.of("a")).cacheScope("b"), equalTo(before.cacheScope("b")));
        assertThat(configuration(Set.of("a", "b"), Set.of("a")).cacheScope("b"), equalTo(before.cacheScope("b")));
        assertThat(
                Json.read(Json.write(before), RelayConfiguration.class).cacheScope("b"),
                equalTo(before.cacheScope("b")));
        assertThat(configuration(Set.of("b")).cacheScope("b"), equalTo("only:b"));
    }

    @Test
    void workspaceThatHasBeenRemovedSharesNothing() {
        assertThat(configuration(Set.of("b"), Set.of()).cacheScope("a"), equalTo("only:a"));
    }

    /**
     * Guards against any order of changes, at VMs that have missed some of them or know only the newest, in which a VM
     * with the newest configuration finds prompts of another workspace while one of the two is dedicated.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void dedicatedWorkspacesShareWithNobody(int seed) {
        Random random = new Random(seed);
        List<String> names = ALL.stream().sorted().toList();
        Map<String, Set<String>> makersByScope = new HashMap<>();
        List<RelayConfiguration> configurations = new ArrayList<>();
        configurations.add(configuration(Set.of()));
        int[] vms = new int[VMS];
        for (int change = 0; change < CHANGES; change++) {
            Set<String> dedicated = new HashSet<>();
            Set<String> present = new HashSet<>();
            for (String name : names) {
                if (random.nextInt(8) > 0) {
                    present.add(name);
                }
                if (present.contains(name) && random.nextInt(3) == 0) {
                    dedicated.add(name);
                }
            }
            configurations.add(configuration(present, dedicated));
            int newest = configurations.size() - 1;
            for (int vm = 0; vm < VMS; vm++) {
                vms[vm] = random.nextInt(vms[vm], newest + 1);
                RelayConfiguration inForce = configurations.get(vms[vm]);
                for (String name : inForce.workspaces().keySet()) {
                    Set<String> makers = makersByScope.computeIfAbsent(inForce.cacheScope(name), s -> new HashSet<>());
                    if (vms[vm] == newest) {
                        assertSharesNothing(name, makers, inForce);
                    }
                    makers.add(name);
                }
            }
        }
    }

    private static void assertSharesNothing(String user, Set<String> makers, RelayConfiguration inForce) {
        for (String maker : makers) {
            boolean isolated = isDedicated(inForce, user) || isDedicated(inForce, maker);
            assertThat(user + " finds prompts of " + maker, isolated && !maker.equals(user), equalTo(false));
        }
    }

    private static boolean isDedicated(RelayConfiguration configuration, String name) {
        @Nullable RelayWorkspace workspace = configuration.workspaces().get(name);
        return workspace != null && workspace.dedicated();
    }
}
