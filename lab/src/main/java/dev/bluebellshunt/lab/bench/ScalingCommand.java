package dev.bluebellshunt.lab.bench;

import dev.bluebellshunt.cli.CliOptions;
import dev.bluebellshunt.cli.Command;
import dev.bluebellshunt.cli.Console;
import dev.bluebellshunt.cli.ExitCode;
import dev.bluebellshunt.configuration.ConfigurationBundle;
import dev.bluebellshunt.configuration.FleetConfigurationParser;
import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.limit.ShareRecord;
import dev.bluebellshunt.core.limit.WorkspaceBucket;
import dev.bluebellshunt.core.member.GossipMessage;
import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.member.MemberTable;
import dev.bluebellshunt.core.member.RendezvousHash;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.model.TargetKind;
import dev.bluebellshunt.core.model.TargetSpec;
import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.once.OnceRecord;
import dev.bluebellshunt.core.retry.PromptPartReport;
import dev.bluebellshunt.core.routing.BoundedLoadSelector;
import dev.bluebellshunt.core.routing.CostSelector;
import dev.bluebellshunt.core.routing.HashRing;
import dev.bluebellshunt.core.routing.PrefixCacheIndex;
import dev.bluebellshunt.core.routing.PrefixChain;
import dev.bluebellshunt.core.routing.RoutingSnapshot;
import dev.bluebellshunt.core.routing.TargetSelector;
import dev.bluebellshunt.core.target.TargetReport;
import dev.bluebellshunt.core.target.TargetRuntimeState;
import dev.bluebellshunt.core.target.TargetState;
import dev.bluebellshunt.core.target.TargetTable;
import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Measures how the cost of each component scales with the fleet. {@code docs/CAPACITY.md} cites the results. */
public final class ScalingCommand implements Command {

    private static final int[] ENGINE_COUNTS = {6, 60, 600};
    private static final int[] MEMBER_COUNTS = {8, 88, 350};
    private static final int[] WORKSPACE_COUNTS = {8, 88, 880};
    private static final int[] BLOCK_COUNTS = {1_000, 30_000, 1_000_000};
    private static final long WARM_UP_NANOS = 300_000_000;
    private static final long MEASURE_NANOS = 500_000_000;

    private final Random random = new Random(1);
    private final MonotonicClock clock = MonotonicClock.system();
    private final List<String> csvLines = new ArrayList<>();

    /** Consumes results, so that the JIT compiler does not eliminate the measured code. */
    private long blackhole;

    @Override
    public String name() {
        return "bench slopes";
    }

    @Override
    public String summary() {
        return "Measures how decisions, messages and control plane work scale with the fleet.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CliOptions.optional("csv", "FILE", "also write the results to this file as CSV"));
    }

    @Override
    public int run(CommandLine line, Console console) throws Exception {
        console.print("%-44s %10s %14s %8s", "what", "size", "value", "unit");
        csvLines.add("what,size,value,unit");
        for (int engines : ENGINE_COUNTS) {
            measureDecisions(console, engines);
        }
        for (int blocks : BLOCK_COUNTS) {
            measurePrefixKnowledge(console, blocks);
        }
        for (int members : MEMBER_COUNTS) {
            measureMembership(console, members);
        }
        for (int workspaces : WORKSPACE_COUNTS) {
            measureConfiguration(console, workspaces);
        }
        measureLimits(console);
        measureRecordSizes(console);
        String file = line.getOptionValue("csv");
        if (file != null) {
            Files.write(Path.of(file), csvLines);
        }
        return blackhole == Long.MIN_VALUE ? ExitCode.FAILED : ExitCode.OK;
    }

    private void measureDecisions(Console console, int engines) {
        FleetConfiguration fleet = createFleet(engines);
        TargetTable table = new TargetTable();
        table.apply(fleet);
        fleet.targets().keySet().forEach(name -> table.recordReport(name, new TargetReport("i", false, 1, 100)));
        List<TargetView> views = table.views();
        HashRing ring = new RoutingSnapshot(views).engines("model");
        List<PrefixChain> chains = createChains(10_000);
        CostSelector cost = new CostSelector(clock, random, new PrefixCacheIndex(clock));
        printRow(console, "decision, miss against queue", engines, meanNanos(() -> select(cost, ring, chains)), "ns");
        BoundedLoadSelector bounded = new BoundedLoadSelector(clock);
        printRow(
                console,
                "decision, ring with a load bound",
                engines,
                meanNanos(() -> select(bounded, ring, chains)),
                "ns");
        printRow(
                console,
                "views of all targets, each tick",
                engines,
                meanNanos(() -> blackhole += table.views().size()),
                "ns");
        printRow(
                console,
                "routing snapshot, each change of a target",
                engines,
                meanNanos(() -> blackhole += new RoutingSnapshot(views).all().size()),
                "ns");
        String report = Json.write(new TargetReport("5d7c9a1e-0000-4000-8000-000000000000", false, 12, 123_456));
        printRow(console, "bytes of a target's report, body", engines, report.length(), "bytes");
    }

    private void select(TargetSelector selector, HashRing ring, List<PrefixChain> chains) {
        PrefixChain chain = chains.get(random.nextInt(chains.size()));
        blackhole += selector.select(ring, chain, Set.of()).hashCode();
    }

    private static FleetConfiguration createFleet(int engines) {
        Map<String, TargetSpec> targets = new HashMap<>();
        for (int i = 0; i < engines; i++) {
            String name = "engine-" + i;
            targets.put(
                    name,
                    new TargetSpec(
                            name,
                            TargetKind.ENGINE,
                            "10.0.0.1",
                            1 + i,
                            "domain-" + i % 7,
                            Set.of("model"),
                            false,
                            false));
        }
        return new FleetConfiguration(1, Map.of(), Map.of(), targets, List.of(), Map.of());
    }

    private List<PrefixChain> createChains(int count) {
        List<PrefixChain> chains = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            long[] hashes = random.longs(8).toArray();
            chains.add(PrefixChain.ofHashes(random.nextLong(), hashes, 8 * PrefixChain.BLOCK_TOKENS + 500));
        }
        return chains;
    }

    private void measurePrefixKnowledge(Console console, int blocks) {
        PrefixCacheIndex knowledge = new PrefixCacheIndex(clock);
        TargetView view = new TargetView(
                createFleet(1).targets().values().iterator().next(), TargetState.LIVE, "i", new TargetRuntimeState());
        List<PrefixChain> chains = createChains(blocks / 8);
        long before = usedHeap();
        chains.forEach(chain -> knowledge.recordCached(view, chain, 1, chain.depth()));
        printRow(console, "heap of known blocks", blocks, (usedHeap() - before) / 1024.0, "KB");
        printRow(
                console,
                "look-up of holders",
                blocks,
                meanNanos(() -> blackhole += knowledge
                        .findHolders(chains.get(random.nextInt(chains.size())), 1)
                        .size()),
                "ns");
    }

    private void measureMembership(Console console, int count) {
        List<Member> members = new ArrayList<>();
        List<String> vms = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            vms.add("vm-" + i);
            members.add(new Member("vm-" + i, 1_790_000_000_000L, "10.0.1." + i % 250, 7000, "domain-1", 1, false, 9));
        }
        MemberTable table = new MemberTable(clock, members.getFirst());
        members.forEach(member -> table.mergeMember(member, clock.nanos()));
        GossipMessage message = createGossipMessage(table, false);
        printRow(
                console,
                "bytes of a gossip message, body",
                count,
                Json.write(message).length(),
                "bytes");
        int whole = Json.write(createGossipMessage(table, true)).length();
        printRow(console, "bytes of a gossip message, all rows", count, whole, "bytes");
        printRow(console, "writing and reading a gossip message", count, meanNanos(() -> roundTrip(message)), "ns");
        printRow(
                console,
                "making a gossip message",
                count,
                meanNanos(() -> blackhole += createGossipMessage(table, false).membersHash()),
                "ns");
        printRow(
                console,
                "hearing a gossip message",
                count,
                meanNanos(() -> table.mergeAges(message.membersHash(), message.ages(), clock.nanos())),
                "ns");
        printRow(console, "rendezvous choice of owners", count, meanNanos(() -> blackhole += countOwners(vms)), "ns");
    }

    /** Creates a message of a fleet without recent changes, or one with all member rows. */
    private static GossipMessage createGossipMessage(MemberTable table, boolean allRows) {
        List<GossipMessage.MemberRow> rows =
                allRows ? table.collectRows(true) : table.collectRows(false).subList(0, 1);
        return new GossipMessage(
                "vm-0", table.membershipHash(), table.encodeAges(), rows, 100, Map.of(), PromptPartReport.EMPTY);
    }

    private void roundTrip(GossipMessage message) {
        blackhole += Json.read(Json.write(message), GossipMessage.class).rows().size();
    }

    private static int countOwners(List<String> vms) {
        return RendezvousHash.owners("subject", vms, 8).size();
    }

    private void measureConfiguration(Console console, int workspaces) {
        StringBuilder text = new StringBuilder("[model model]\nweights = v1\n");
        for (int i = 0; i < workspaces; i++) {
            text.append("[workspace w-").append(i).append("]\nrate = 1000\nburst = 4000\n");
            text.append("[key k-")
                    .append(i)
                    .append("]\nworkspace = w-")
                    .append(i)
                    .append("\ndigest = ");
            text.append("00".repeat(16)).append(':').append("00".repeat(32)).append('\n');
        }
        ConfigurationBundle bundle = new ConfigurationBundle(new TreeMap<>(Map.of("a.ini", text.toString())));
        int bytes = bundle.toJson().getBytes(StandardCharsets.UTF_8).length;
        printRow(console, "bytes of a configuration revision", workspaces, bytes, "bytes");
        FleetConfigurationParser parser = new FleetConfigurationParser();
        printRow(
                console,
                "reading a configuration revision",
                workspaces,
                meanNanos(
                        () -> blackhole += parser.parse(1, bundle).workspaces().size()),
                "ns");
    }

    private void measureLimits(Console console) {
        WorkspaceBucket bucket = new WorkspaceBucket(clock, new Workspace("w", 1_000_000_000, 1_000_000_000, 1));
        bucket.setShare(1);
        printRow(console, "admission by a bucket", 1, meanNanos(() -> blackhole += bucket.tryAcquire(1) ? 1 : 0), "ns");
        TreeMap<String, ShareRecord.Share> shares = new TreeMap<>();
        for (int i = 0; i < 8; i++) {
            shares.put("vm-" + i, new ShareRecord.Share(1_790_000_000_000L, 125_000));
        }
        printRow(
                console,
                "bytes of a group's share record",
                8,
                Json.write(new ShareRecord(shares)).length(),
                "bytes");
    }

    private void measureRecordSizes(Console console) {
        OnceRecord record = new OnceRecord(
                "5d7c9a1e-0000-4000-8000-000000000000",
                "10.0.1.250:7000",
                "00".repeat(16),
                OnceRecord.State.STARTED,
                null);
        printRow(
                console,
                "bytes of a once record, started",
                1,
                Json.write(record).length(),
                "bytes");
    }

    private void printRow(Console console, String quantity, int size, double value, String unit) {
        console.print("%-44s %10d %14.0f %8s", quantity, size, value, unit);
        csvLines.add("%s,%d,%.1f,%s".formatted(quantity.replace(",", ""), size, value, unit));
    }

    private static double meanNanos(Runnable task) {
        meanNanosOver(task, WARM_UP_NANOS);
        return meanNanosOver(task, MEASURE_NANOS);
    }

    private static double meanNanosOver(Runnable task, long durationNanos) {
        long start = System.nanoTime();
        long count = 0;
        while (System.nanoTime() - start < durationNanos) {
            for (int i = 0; i < 16; i++) {
                task.run();
            }
            count += 16;
        }
        return (System.nanoTime() - start) / (double) count;
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
