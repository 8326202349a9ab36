package dev.bluebellshunt.lab.experiment;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.core.routing.PrefixChain;
import java.util.Random;

/** Generates prompts with nested shared prefixes, whose popularity follows a Zipf distribution and can be shifted. */
final class PromptGenerator {

    private final Workload workload;
    private final Random random;
    private int popularityOffset;

    PromptGenerator(Workload workload, Random random) {
        this.workload = workload;
        this.random = random;
    }

    /** Moves the popularity distribution by half of the books, so that other prefixes become the most frequent. */
    void shiftBookPopularity() {
        popularityOffset += workload.books() / 2;
    }

    PrefixChain nextPrompt(String workspace) {
        long namespace = PrefixChain.namespace(workspace, "model", "v1");
        boolean isLong = random.nextDouble() < workload.longFraction();
        int uniqueTokens = 1 + random.nextInt(workload.maxUniqueTokens());
        if (!isLong) {
            return PrefixChain.ofHashes(namespace, new long[0], uniqueTokens);
        }
        int book = (nextZipfIndex(workload.books()) + popularityOffset) % workload.books();
        int chapter = nextZipfIndex(workload.chapters());
        int blocks = workload.workspacePrefixBlocks() + workload.bookPrefixBlocks() + workload.chapterPrefixBlocks();
        long[] hashes = new long[blocks];
        long previous = namespace;
        for (int i = 0; i < blocks; i++) {
            long content = i;
            content += i >= workload.workspacePrefixBlocks() ? 1_000L * (book + 1) : 0;
            content += i >= workload.workspacePrefixBlocks() + workload.bookPrefixBlocks()
                    ? 1_000_000L * (chapter + 1)
                    : 0;
            previous = Hashing.komihash5_0().hashLongLongToLong(previous, content);
            hashes[i] = previous;
        }
        return PrefixChain.ofHashes(namespace, hashes, (long) blocks * PrefixChain.BLOCK_TOKENS + uniqueTokens);
    }

    private int nextZipfIndex(int size) {
        double totalWeight = 0;
        for (int i = 1; i <= size; i++) {
            totalWeight += 1.0 / i;
        }
        double remainingWeight = random.nextDouble() * totalWeight;
        for (int i = 1; i <= size; i++) {
            remainingWeight -= 1.0 / i;
            if (remainingWeight < 0) {
                return i - 1;
            }
        }
        return size - 1;
    }
}
