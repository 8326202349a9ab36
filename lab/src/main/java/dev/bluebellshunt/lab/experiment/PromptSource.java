package dev.bluebellshunt.lab.experiment;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.core.routing.PrefixChain;
import java.util.Random;

/** Prompts with prefixes nested in levels, few of them hot; the hot ones shift once. */
final class PromptSource {

    private final Workload workload;
    private final Random random;
    private int shift;

    PromptSource(Workload workload, Random random) {
        this.workload = workload;
        this.random = random;
    }

    /** Makes other books hot. */
    void shiftHotBooks() {
        shift += workload.books() / 2;
    }

    PrefixChain next(String workspace) {
        long namespace = PrefixChain.namespace(workspace, "model", "v1");
        boolean isLong = random.nextDouble() < workload.longShare();
        int tail = 1 + random.nextInt(workload.tailTokens());
        if (!isLong) {
            return PrefixChain.ofHashes(namespace, new long[0], tail);
        }
        int book = (zipf(workload.books()) + shift) % workload.books();
        int chapter = zipf(workload.chapters());
        int blocks = workload.rulesBlocks() + workload.bookBlocks() + workload.chapterBlocks();
        long[] hashes = new long[blocks];
        long previous = namespace;
        for (int i = 0; i < blocks; i++) {
            long content = i;
            content += i >= workload.rulesBlocks() ? 1_000L * (book + 1) : 0;
            content += i >= workload.rulesBlocks() + workload.bookBlocks() ? 1_000_000L * (chapter + 1) : 0;
            previous = Hashing.komihash5_0().hashLongLongToLong(previous, content);
            hashes[i] = previous;
        }
        return PrefixChain.ofHashes(namespace, hashes, (long) blocks * PrefixChain.BLOCK_TOKENS + tail);
    }

    private int zipf(int size) {
        double sum = 0;
        for (int i = 1; i <= size; i++) {
            sum += 1.0 / i;
        }
        double draw = random.nextDouble() * sum;
        for (int i = 1; i <= size; i++) {
            draw -= 1.0 / i;
            if (draw < 0) {
                return i - 1;
            }
        }
        return size - 1;
    }
}
