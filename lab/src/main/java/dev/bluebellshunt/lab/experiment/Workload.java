package dev.bluebellshunt.lab.experiment;

import dev.bluebellshunt.core.model.Workspace;
import java.util.List;

/**
 * The fleet size and the traffic of a simulated deployment.
 *
 * @param name the name in the report
 * @param engines the number of engines
 * @param failureDomains the number of failure domains
 * @param routers the number of routers
 * @param workspaces the workspaces, with their rates in tokens per second
 * @param longFraction the fraction of long requests, which have shared prefixes; the others have none
 * @param workspacePrefixBlocks blocks of the prefix that all long requests of a workspace share
 * @param bookPrefixBlocks additional prefix blocks that requests for the same book share
 * @param chapterPrefixBlocks additional prefix blocks that requests for the same chapter share
 * @param books books per workspace, with a Zipf-distributed popularity
 * @param chapters chapters per book, with a Zipf-distributed popularity
 * @param maxUniqueTokens the maximum number of prompt tokens that a request shares with no other
 * @param maxCompletionTokens the maximum number of tokens of a completion
 * @param load the fraction of the engines' prefill time that the traffic takes if no prefix is cached on
 *     more than one engine
 */
record Workload(
        String name,
        int engines,
        int failureDomains,
        int routers,
        List<Workspace> workspaces,
        double longFraction,
        int workspacePrefixBlocks,
        int bookPrefixBlocks,
        int chapterPrefixBlocks,
        int books,
        int chapters,
        int maxUniqueTokens,
        int maxCompletionTokens,
        double load) {

    static Workload siam() {
        return new Workload(
                "siam",
                6,
                3,
                6,
                List.of(
                        new Workspace("textbooks", 60_000, 240_000, 4),
                        new Workspace("gazettes", 60_000, 240_000, 4),
                        new Workspace("publishers", 30_000, 120_000, 2),
                        new Workspace("archives", 15_000, 60_000, 1),
                        new Workspace("complaints", 15_000, 60_000, 1)),
                0.6,
                2,
                4,
                2,
                8,
                3,
                900,
                120,
                0.6);
    }

    static Workload firebreak() {
        return new Workload(
                "firebreak",
                13,
                4,
                8,
                List.of(
                        new Workspace("chaguanas", 60_000, 240_000, 3),
                        new Workspace("tunapuna", 60_000, 240_000, 3),
                        new Workspace("arima", 40_000, 160_000, 2),
                        new Workspace("sangre-grande", 20_000, 80_000, 1),
                        new Workspace("toco", 20_000, 80_000, 1)),
                0.4,
                1,
                3,
                1,
                12,
                2,
                600,
                60,
                0.6);
    }
}
