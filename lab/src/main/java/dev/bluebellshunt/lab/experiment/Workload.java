package dev.bluebellshunt.lab.experiment;

import dev.bluebellshunt.core.model.Workspace;
import java.util.List;

/**
 * The traffic of a deployment.
 *
 * @param name its name
 * @param engines engines
 * @param failureDomains failure domains
 * @param routers routers
 * @param workspaces workspaces, with their rates in tokens a second
 * @param longShare the part of requests that are long
 * @param rulesBlocks blocks of the prefix that a whole workspace shares
 * @param bookBlocks further blocks of the prefix that a book's requests share
 * @param chapterBlocks further blocks of the prefix that a chapter's requests share
 * @param books books of a workspace, few of them hot
 * @param chapters chapters of a book
 * @param tailTokens tokens of a request's own at the most
 * @param answerTokens tokens of an answer at the most
 * @param load the part of the engines' time that the workspaces' traffic takes where nothing is cached twice
 */
record Workload(
        String name,
        int engines,
        int failureDomains,
        int routers,
        List<Workspace> workspaces,
        double longShare,
        int rulesBlocks,
        int bookBlocks,
        int chapterBlocks,
        int books,
        int chapters,
        int tailTokens,
        int answerTokens,
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
