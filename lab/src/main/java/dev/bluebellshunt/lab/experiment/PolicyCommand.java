package dev.bluebellshunt.lab.experiment;

import dev.bluebellshunt.cli.CliOptions;
import dev.bluebellshunt.cli.Command;
import dev.bluebellshunt.cli.Console;
import dev.bluebellshunt.cli.ExitCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Compares the ways of choosing an engine on both workloads, in virtual time. */
public final class PolicyCommand implements Command {

    private static final long DEFAULT_SEEDS = 10;

    @Override
    public String name() {
        return "bench policy";
    }

    @Override
    public String summary() {
        return "Compares routing policies in virtual time; one seed gives the same figures twice.";
    }

    @Override
    public Options options() {
        return new Options().addOption(CliOptions.optional("seeds", "N", "runs of each, with seeds from 1"));
    }

    @Override
    public int run(CommandLine line, Console console) throws Exception {
        int seeds = Math.toIntExact(CliOptions.longValue(line, "seeds", DEFAULT_SEEDS));
        for (Workload workload : List.of(Workload.siam(), Workload.firebreak())) {
            console.print("%s, %d seeds, mean (standard deviation)", workload.name(), seeds);
            console.print(
                    "%-22s %18s %18s %18s %18s %18s",
                    "policy", "prefix hits %", "wasted %", "first token p50 ms", "p99 ms", "worst workspace p95");
            for (Policy policy : Policy.values()) {
                print(console, workload, policy.name().toLowerCase(Locale.ROOT), run(workload, policy, true, seeds));
            }
            print(console, workload, "cost, no fairness", run(workload, Policy.COST, false, seeds));
        }
        return ExitCode.OK;
    }

    private static List<Measures> run(Workload workload, Policy policy, boolean fair, int seeds) {
        return IntStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> new Experiment(workload, policy, fair, seed).run())
                .toList();
    }

    private static void print(Console console, Workload workload, String name, List<Measures> runs) {
        String noisy = workload.workspaces().getLast().name();
        console.print(
                "%-22s %18s %18s %18s %18s %18s",
                name,
                text(runs, run -> 100 * run.hitRate()),
                text(runs, run -> 100 * run.wastedShare()),
                text(runs, run -> run.firstTokenMillis(50)),
                text(runs, run -> run.firstTokenMillis(99)),
                text(runs, run -> run.worstWorkspaceMillis(noisy)));
    }

    private static String text(List<Measures> runs, ToDoubleFunction<Measures> measure) {
        List<Double> values = new ArrayList<>();
        runs.forEach(run -> values.add(measure.applyAsDouble(run)));
        double mean = values.stream().mapToDouble(v -> v).average().orElse(0);
        double squares =
                values.stream().mapToDouble(v -> (v - mean) * (v - mean)).sum();
        double deviation = Math.sqrt(squares / Math.max(1, values.size() - 1));
        return "%.1f (%.1f)".formatted(mean, deviation);
    }
}
