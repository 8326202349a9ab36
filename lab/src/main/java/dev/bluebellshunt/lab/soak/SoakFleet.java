package dev.bluebellshunt.lab.soak;

import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.platform.standin.Operator;
import dev.bluebellshunt.platform.standin.StoreProcess;
import dev.bluebellshunt.platform.standin.TargetProcess;
import dev.bluebellshunt.platform.standin.TargetRecord;
import dev.bluebellshunt.platform.standin.TargetSettings;
import dev.bluebellshunt.platform.standin.VmSettings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/** The processes of a soak, the proxies between them, and who of the VMs takes new connections. */
final class SoakFleet implements SoakClient.Balancer {

    /** Below the ports that the system gives to outgoing connections, so that a restart finds them free. */
    private static final int FIRST_PORT = 20_000;

    private static final int LAST_PORT = 32_000;
    private static final int MISSES = 2;
    private static final long READY_POLL_MILLIS = 100;
    private static final long START_TIMEOUT_MILLIS = 30_000;
    private static final int SLOTS = 24;
    private static final String FIRST_VERSION = "v1";

    private final Closer closer;
    private final Path root;
    private final Path folder;
    private final InetAddress host;
    private final String hostName;
    private final long seed;
    private final Map<String, VmProcess> vms = new LinkedHashMap<>();
    private final Map<String, ManagedProcess> targets = new LinkedHashMap<>();
    private final Map<String, LoopbackProxy> links = new ConcurrentHashMap<>();
    private final Map<String, Integer> misses = new ConcurrentHashMap<>();
    private final List<Path> records = new ArrayList<>();
    private final List<ManagedProcess> applications = new ArrayList<>();
    private int versions = 1;
    private final int storePort;
    private int nextPort = FIRST_PORT;

    private record VmProcess(ManagedProcess process, VmSettings.Ports ports, Vm address) {}

    SoakFleet(SoakOptions options, Path folder, Closer closer) throws IOException {
        this.closer = closer;
        this.root = options.root();
        this.folder = folder;
        this.seed = options.seed();
        this.hostName = loopbackAddress(ProcessHandle.current().pid());
        this.host = InetAddress.getByName(hostName);
        this.storePort = freePort();
        SplittableRandom seeds = new SplittableRandom(seed);
        ManagedProcess store = child(
                "store",
                StoreProcess.class,
                List.of(
                        hostName,
                        Integer.toString(storePort),
                        Long.toString(seeds.nextLong()),
                        Boolean.toString(Fault.isPlannedOnly(seed))));
        store.start();
        SoakOptions.Site site = options.site();
        addTargets(Operator.STREAM_POOL, site.streamEngines(), seeds);
        addTargets(Operator.ONCE_POOL, site.onceEngines(), seeds);
        addTargets(Operator.APPLICATION_POOL, site.applications(), seeds);
        List<String> command = runCommand(root);
        for (int i = 0; i < options.vms(); i++) {
            addVm("vm-" + i, failureDomain(i), command);
        }
    }

    /** Gives each soak a loopback address of its own, so that soaks side by side have their own ports. */
    private static String loopbackAddress(long pid) {
        return "127." + (100 + (pid >> 16) % 100) + "." + ((pid >> 8) & 0xFF) + "." + Math.max(1, pid & 0xFF);
    }

    private static String failureDomain(int number) {
        return number % 2 == 0 ? "zone-a" : "zone-b";
    }

    /** Returns the command that deploy/system.toml runs on a VM. */
    static List<String> runCommand(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'))
                        .split(" "));
            }
        }
        throw new IllegalArgumentException("deploy/system.toml names no command");
    }

    private int freePort() throws IOException {
        while (nextPort < LAST_PORT) {
            int port = nextPort++;
            try (ServerSocket probe = new ServerSocket(port, 1, host)) {
                return probe.getLocalPort();
            } catch (IOException e) {
                // In use; the next one is tried.
            }
        }
        throw new IOException("no free port on " + hostName);
    }

    private ManagedProcess child(String name, Class<?> main, List<String> arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                main.getName()));
        command.addAll(arguments);
        return closer.add(new ManagedProcess(
                name, command, Map.of(), Path.of("").toAbsolutePath(), folder.resolve(name + ".log")));
    }

    private LoopbackProxy link(String name, int destinationPort) throws IOException {
        LoopbackProxy link = closer.add(new LoopbackProxy(name, host, freePort(), destinationPort));
        links.put(name, link);
        return link;
    }

    private void addTargets(String pool, int count, SplittableRandom seeds) throws IOException {
        for (int i = 0; i < count; i++) {
            addTarget(pool + "-" + i, pool, i, seeds.nextLong(), FIRST_VERSION, false);
        }
    }

    private ManagedProcess addTarget(String name, String pool, int number, long behaviour, String version, boolean bad)
            throws IOException {
        int port = freePort();
        Path record = folder.resolve(name + ".record");
        TargetSettings settings = new TargetSettings(
                name,
                pool,
                Operator.model(pool).orElse(""),
                failureDomain(number),
                hostName,
                port,
                link("to-" + name, port).port(),
                storePort,
                behaviour,
                record.toString(),
                SLOTS,
                version,
                bad);
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, Json.write(settings));
        ManagedProcess target = child(name, TargetProcess.class, List.of(file.toString()));
        synchronized (this) {
            records.add(record);
            targets.put(name, target);
            if (pool.equals(Operator.APPLICATION_POOL)) {
                applications.add(target);
            }
        }
        return target;
    }

    /**
     * The targets of a version that were started beside others.
     *
     * @param version the version
     * @param started the targets of this version
     * @param replaced the targets of the version that they may replace
     */
    record Generation(String version, List<ManagedProcess> started, List<ManagedProcess> replaced) {}

    /** Starts as many targets of another version as the pool of applications has, with names of their own. */
    Generation startVersion(boolean bad, long behaviour) throws IOException {
        List<ManagedProcess> replaced;
        synchronized (this) {
            replaced = List.copyOf(applications);
        }
        String version = "v" + ++versions;
        List<ManagedProcess> started = new ArrayList<>();
        for (int i = 0; i < replaced.size(); i++) {
            String name = Operator.APPLICATION_POOL + "-" + version + "-" + i;
            ManagedProcess target = addTarget(name, Operator.APPLICATION_POOL, i, behaviour + i, version, bad);
            target.start();
            started.add(target);
        }
        return new Generation(version, started, replaced);
    }

    /** Ends targets for good, at once or after they have drained. */
    void retire(List<ManagedProcess> ended, boolean atOnce) throws IOException, InterruptedException {
        synchronized (this) {
            applications.removeAll(ended);
        }
        for (ManagedProcess target : ended) {
            target.retire(atOnce);
        }
    }

    private void addVm(String name, String failureDomain, List<String> command) throws IOException {
        VmSettings.Ports ports = new VmSettings.Ports(freePort(), freePort(), freePort(), freePort());
        int port = link(name + "-to-store", storePort).port();
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, VmSettings.json(name, failureDomain, hostName, ports, port));
        ManagedProcess process = closer.add(new ManagedProcess(
                name,
                command,
                Map.of(VmSettings.ENVIRONMENT_VARIABLE, file.toString()),
                root,
                folder.resolve(name + ".log")));
        InetSocketAddress address =
                new InetSocketAddress(host, link("to-" + name, ports.front()).port());
        vms.put(name, new VmProcess(process, ports, new Vm(name, address)));
    }

    InetSocketAddress storeAddress() {
        return new InetSocketAddress(host, storePort);
    }

    /** Starts the targets and the VMs, and waits until all VMs are ready. */
    boolean start() throws IOException, InterruptedException {
        for (ManagedProcess target : targets.values()) {
            target.start();
        }
        for (VmProcess vm : vms.values()) {
            vm.process().start();
        }
        long endNanos = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000;
        while (!vms.values().stream().allMatch(vm -> VmSettings.isReady(hostName, vm.ports()))) {
            if (System.nanoTime() - endNanos > 0) {
                return false;
            }
            restartEnded();
            Thread.sleep(READY_POLL_MILLIS);
        }
        return true;
    }

    void restartEnded() throws IOException {
        for (ManagedProcess process : processes()) {
            process.restartIfEnded();
        }
    }

    synchronized List<ManagedProcess> processes() {
        List<ManagedProcess> all = new ArrayList<>(targets.values());
        vms.values().forEach(vm -> all.add(vm.process()));
        return all;
    }

    /** Asks each VM once whether it is ready, as the platform does each second. */
    void askReadiness() {
        vms.forEach((name, vm) -> {
            if (VmSettings.isReady(hostName, vm.ports())) {
                misses.remove(name);
            } else {
                misses.merge(name, 1, Integer::sum);
            }
        });
    }

    @Override
    public Vm choose(SplittableRandom random) {
        List<VmProcess> ready = new ArrayList<>();
        vms.forEach((name, vm) -> {
            if (misses.getOrDefault(name, 0) < MISSES) {
                ready.add(vm);
            }
        });
        List<VmProcess> inRotation = ready.size() * 2 < vms.size() ? new ArrayList<>(vms.values()) : ready;
        return inRotation.get(random.nextInt(inRotation.size())).address();
    }

    Fault.Victims victims() {
        return new Fault.Victims(
                List.copyOf(vms.keySet()),
                List.copyOf(targets.keySet()),
                List.copyOf(links.keySet()),
                List.of(Operator.STREAM_POOL, Operator.ONCE_POOL));
    }

    ManagedProcess process(String name) {
        VmProcess vm = vms.get(name);
        ManagedProcess target;
        synchronized (this) {
            target = targets.get(name);
        }
        if (vm != null) {
            return vm.process();
        }
        if (target == null) {
            throw new IllegalArgumentException("no process " + name);
        }
        return target;
    }

    LoopbackProxy link(String name) {
        LoopbackProxy link = links.get(name);
        if (link == null) {
            throw new IllegalArgumentException("no link " + name);
        }
        return link;
    }

    List<TargetRecord.Entry> readRecords() throws IOException {
        List<TargetRecord.Entry> entries = new ArrayList<>();
        for (Path record : records) {
            if (Files.exists(record)) {
                entries.addAll(TargetRecord.read(record));
            }
        }
        return entries;
    }
}
