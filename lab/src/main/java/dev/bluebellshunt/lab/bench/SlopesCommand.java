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

/** Measures how the work of each role grows, for {@code docs/CAPACITY.md}. */
public final class SlopesCommand implements Command {

    private static final int[] ENGINES = {6, 60, 600};
    private static final int[] MEMBERS = {8, 88, 350};
    private static final int[] WORKSPACES = {8, 88, 880};
    private static final int[] BLOCKS = {1_000, 30_000, 1_000_000};
    private static final long WARM_UP_NANOS = 300_000_000;
    private static final long MEASURE_NANOS = 500_000_000;

    private final Random random = new Random(1);
    private final MonotonicClock clock = MonotonicClock.system();
    private final List<String> csv = new ArrayList<>();
    private long sink;

    @Override
    public String name() {
        return "bench slopes";
    }

    @Override
    public String summary() {
        return "Measures how control work, messages and decisions grow with the fleet.";
    }

    @Override
    public Options options() {
        return new Options().addOption(CliOptions.optional("csv", "FILE", "also write the table as CSV"));
    }

    @Override
    public int run(CommandLine line, Console console) throws Exception {
        console.print("%-44s %10s %14s %8s", "what", "size", "value", "unit");
        csv.add("what,size,value,unit");
        for (int engines : ENGINES) {
            decisions(console, engines);
        }
        for (int blocks : BLOCKS) {
            knowledge(console, blocks);
        }
        for (int members : MEMBERS) {
            membership(console, members);
        }
        for (int workspaces : WORKSPACES) {
            configuration(console, workspaces);
        }
        limits(console);
        records(console);
        String file = line.getOptionValue("csv");
        if (file != null) {
            Files.write(Path.of(file), csv);
        }
        return sink == Long.MIN_VALUE ? ExitCode.FAILED : ExitCode.OK;
    }

    private void decisions(Console console, int engines) {
        FleetConfiguration fleet = fleet(engines);
        TargetTable table = new TargetTable();
        table.apply(fleet);
        fleet.targets().keySet().forEach(name -> table.recordReport(name, new TargetReport("i", false, 1, 100)));
        List<TargetView> views = table.views();
        HashRing ring = new RoutingSnapshot(views).engines("model");
        List<PrefixChain> chains = chains(10_000);
        CostSelector cost = new CostSelector(clock, random, new PrefixCacheIndex(clock));
        print(console, "decision, miss against queue", engines, nanos(() -> select(cost, ring, chains)), "ns");
        BoundedLoadSelector bounded = new BoundedLoadSelector(clock);
        print(console, "decision, ring with a load bound", engines, nanos(() -> select(bounded, ring, chains)), "ns");
        print(
                console,
                "views of all targets, each tick",
                engines,
                nanos(() -> sink += table.views().size()),
                "ns");
        print(
                console,
                "routing snapshot, each change of a target",
                engines,
                nanos(() -> sink += new RoutingSnapshot(views).all().size()),
                "ns");
        String report = Json.write(new TargetReport("5d7c9a1e-0000-4000-8000-000000000000", false, 12, 123_456));
        print(console, "bytes of a target's report, body", engines, report.length(), "bytes");
    }

    private void select(TargetSelector selector, HashRing ring, List<PrefixChain> chains) {
        PrefixChain chain = chains.get(random.nextInt(chains.size()));
        sink += selector.select(ring, chain, Set.of()).hashCode();
    }

    private static FleetConfiguration fleet(int engines) {
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

    private List<PrefixChain> chains(int count) {
        List<PrefixChain> chains = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            long[] hashes = random.longs(8).toArray();
            chains.add(PrefixChain.ofHashes(random.nextLong(), hashes, 8 * PrefixChain.BLOCK_TOKENS + 500));
        }
        return chains;
    }

    private void knowledge(Console console, int blocks) {
        PrefixCacheIndex knowledge = new PrefixCacheIndex(clock);
        TargetView view = new TargetView(
                fleet(1).targets().values().iterator().next(), TargetState.LIVE, "i", new TargetRuntimeState());
        List<PrefixChain> chains = chains(blocks / 8);
        long before = usedHeap();
        chains.forEach(chain -> knowledge.recordCached(view, chain, 1, chain.depth()));
        print(console, "heap of known blocks", blocks, (usedHeap() - before) / 1024.0, "KB");
        print(
                console,
                "look-up of holders",
                blocks,
                nanos(() -> sink += knowledge
                        .findHolders(chains.get(random.nextInt(chains.size())), 1)
                        .size()),
                "ns");
    }

    private void membership(Console console, int count) {
        List<Member> members = new ArrayList<>();
        List<String> vms = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            vms.add("vm-" + i);
            members.add(new Member("vm-" + i, 1_790_000_000_000L, "10.0.1." + i % 250, 7000, "domain-1", 1, false, 9));
        }
        MemberTable table = new MemberTable(clock, members.getFirst());
        members.forEach(member -> table.mergeMember(member, 0));
        GossipMessage message = message(table, false);
        print(
                console,
                "bytes of a gossip message, body",
                count,
                Json.write(message).length(),
                "bytes");
        int whole = Json.write(message(table, true)).length();
        print(console, "bytes of a gossip message, all rows", count, whole, "bytes");
        print(console, "writing and reading a gossip message", count, nanos(() -> roundTrip(message)), "ns");
        print(
                console,
                "making a gossip message",
                count,
                nanos(() -> sink += message(table, false).membersHash()),
                "ns");
        print(
                console,
                "hearing a gossip message",
                count,
                nanos(() -> table.mergeAges(message.membersHash(), message.ages())),
                "ns");
        print(console, "rendezvous choice of owners", count, nanos(() -> sink += owners(vms)), "ns");
    }

    /** A message of a fleet in which nothing changed lately, or with all rows. */
    private static GossipMessage message(MemberTable table, boolean allRows) {
        List<GossipMessage.MemberRow> rows =
                allRows ? table.collectRows(true) : table.collectRows(false).subList(0, 1);
        return new GossipMessage("vm-0", table.membershipHash(), table.encodeAges(), rows, 100, Map.of());
    }

    private void roundTrip(GossipMessage message) {
        sink += Json.read(Json.write(message), GossipMessage.class).rows().size();
    }

    private static int owners(List<String> vms) {
        return RendezvousHash.owners("subject", vms, 8).size();
    }

    private void configuration(Console console, int workspaces) {
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
        int bytes = bundle.toStored().getBytes(StandardCharsets.UTF_8).length;
        print(console, "bytes of a configuration revision", workspaces, bytes, "bytes");
        FleetConfigurationParser parser = new FleetConfigurationParser();
        print(
                console,
                "reading a configuration revision",
                workspaces,
                nanos(() -> sink += parser.parse(1, bundle).workspaces().size()),
                "ns");
    }

    private void limits(Console console) {
        WorkspaceBucket bucket = new WorkspaceBucket(clock, new Workspace("w", 1_000_000_000, 1_000_000_000, 1));
        bucket.setShare(1);
        print(console, "admission by a bucket", 1, nanos(() -> sink += bucket.tryAcquire(1) ? 1 : 0), "ns");
        TreeMap<String, ShareRecord.Share> shares = new TreeMap<>();
        for (int i = 0; i < 8; i++) {
            shares.put("vm-" + i, new ShareRecord.Share(1_790_000_000_000L, 125_000));
        }
        print(
                console,
                "bytes of a group's share record",
                8,
                Json.write(new ShareRecord(shares)).length(),
                "bytes");
    }

    private void records(Console console) {
        OnceRecord record = new OnceRecord(
                "5d7c9a1e-0000-4000-8000-000000000000",
                "10.0.1.250:7000",
                "00".repeat(16),
                OnceRecord.State.STARTED,
                null);
        print(console, "bytes of a once record, started", 1, Json.write(record).length(), "bytes");
    }

    private void print(Console console, String what, int size, double value, String unit) {
        console.print("%-44s %10d %14.0f %8s", what, size, value, unit);
        csv.add("%s,%d,%.1f,%s".formatted(what.replace(",", ""), size, value, unit));
    }

    private static double nanos(Runnable work) {
        repeat(work, WARM_UP_NANOS);
        return repeat(work, MEASURE_NANOS);
    }

    private static double repeat(Runnable work, long nanos) {
        long start = System.nanoTime();
        long count = 0;
        while (System.nanoTime() - start < nanos) {
            for (int i = 0; i < 16; i++) {
                work.run();
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
