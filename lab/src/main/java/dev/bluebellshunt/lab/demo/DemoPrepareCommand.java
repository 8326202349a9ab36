package dev.bluebellshunt.lab.demo;

import dev.bluebellshunt.cli.CliOptions;
import dev.bluebellshunt.cli.Command;
import dev.bluebellshunt.cli.ConfigKeyCommand;
import dev.bluebellshunt.cli.Console;
import dev.bluebellshunt.cli.ExitCode;
import dev.bluebellshunt.configuration.ConfigurationBundle;
import dev.bluebellshunt.configuration.FleetConfigurationParser;
import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.key.ApiKey;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.model.KeySpec;
import dev.bluebellshunt.core.model.TargetKind;
import dev.bluebellshunt.core.model.TargetSpec;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Reserves ports and writes the settings of the demo's processes, which {@code bin/bluebellshunt demo} then starts. */
public final class DemoPrepareCommand implements Command {

    private static final int ROUTERS = 3;
    private static final String HOST = "127.0.0.1";

    private final SecureRandom random = new SecureRandom();
    private final List<ServerSocket> reservedPorts = new ArrayList<>();

    @Override
    public String name() {
        return "demo-prepare";
    }

    @Override
    public String summary() {
        return "Writes the settings of the demo's processes; used by 'demo'.";
    }

    @Override
    public Options options() {
        return demoOptions();
    }

    static Options demoOptions() {
        return new Options()
                .addOption(CliOptions.optional(
                        "dir", "FOLDER", "the folder of the process files; set by the launch script"))
                .addOption(CliOptions.optional("deployment", "NAME", "the example deployment: siam or firebreak"))
                .addOption(CliOptions.optional("seconds", "N", "the duration of the traffic in seconds"))
                .addOption(Option.builder()
                        .longOpt("stay")
                        .desc("run the fleet without traffic until interrupted")
                        .get());
    }

    @Override
    public int run(CommandLine line, Console console) throws IOException {
        Path dir = Path.of(line.getOptionValue("dir"));
        String deployment = line.getOptionValue("deployment", "siam");
        Path examples = Path.of(System.getProperty("bluebellshunt.home", "."), "examples", deployment);
        DemoPlan plan = createPlan(deployment, ConfigurationBundle.readFolder(examples));
        for (ServerSocket socket : reservedPorts) {
            socket.close();
        }
        Files.writeString(dir.resolve("plan.json"), Json.write(plan));
        Files.writeString(dir.resolve("processes"), processList(dir, plan));
        return ExitCode.OK;
    }

    private DemoPlan createPlan(String deployment, ConfigurationBundle examples) throws IOException {
        FleetConfiguration fleet = new FleetConfigurationParser().parse(1, examples);
        SortedMap<String, String> engines = new TreeMap<>();
        SortedMap<String, String> applications = new TreeMap<>();
        StringBuilder addresses = new StringBuilder();
        for (TargetSpec target : fleet.targets().values()) {
            String address = reserveAddress();
            boolean engine = target.kind() == TargetKind.ENGINE;
            (engine ? engines : applications).put(target.name(), address);
            addresses.append(
                    "[%s %s]%naddress = %s%n%n".formatted(engine ? "engine" : "application", target.name(), address));
        }
        SortedMap<String, String> keys = new TreeMap<>();
        StringBuilder keySections = new StringBuilder();
        for (String workspace : fleet.workspaces().keySet()) {
            ApiKey key = ApiKey.generate(random);
            keys.put(workspace, key.reveal());
            keySections.append(ConfigKeyCommand.toIniSection(key.toSpec(workspace, random)));
        }
        ApiKey revokedKey = ApiKey.generate(random);
        SortedMap<String, String> files = new TreeMap<>(examples.files());
        files.put("50-keys.ini", keySections.toString());
        files.put("51-contractor.ini", ConfigKeyCommand.toIniSection(revokedKey.toSpec(keys.firstKey(), random)));
        files.put("90-addresses.ini", addresses.toString());
        SortedMap<String, String> versions = new TreeMap<>();
        fleet.models().forEach((name, model) -> versions.put(name, model.weightsVersion()));
        SortedMap<String, DemoPlan.Router> routers = new TreeMap<>();
        for (int i = 1; i <= ROUTERS; i++) {
            routers.put("router-" + i, new DemoPlan.Router(reserveAddress(), reserveAddress(), reserveAddress()));
        }
        return new DemoPlan(
                deployment,
                reserveAddress(),
                reserveAddress(),
                routers,
                engines,
                applications,
                versions,
                files,
                keys,
                revokedKey.reveal(),
                "51-contractor.ini",
                ApiKey.generate(random).reveal());
    }

    /** Keeps each port bound until all are chosen, so that no port is chosen twice. */
    private String reserveAddress() throws IOException {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        reservedPorts.add(socket);
        return HOST + ":" + socket.getLocalPort();
    }

    private String processList(Path dir, DemoPlan plan) throws IOException {
        StringBuilder lines = new StringBuilder();
        lines.append("store\tstand-in store --listen ").append(plan.store()).append('\n');
        lines.append("vm-list\tstand-in vm-list --listen ")
                .append(plan.vmList())
                .append('\n');
        FleetConfiguration fleet = new FleetConfigurationParser().parse(1, new ConfigurationBundle(plan.files()));
        plan.engines()
                .forEach((name, address) -> lines.append(name)
                        .append("\tstand-in engine --weights ")
                        .append(weights(fleet))
                        .append(" --listen ")
                        .append(address)
                        .append('\n'));
        plan.applications()
                .forEach((name, address) -> lines.append(name)
                        .append("\tstand-in application --listen ")
                        .append(address)
                        .append('\n'));
        KeySpec operator = ApiKey.parse(plan.operatorCredential()).orElseThrow().toSpec("operators", random);
        for (var router : plan.routers().entrySet()) {
            Path settings = dir.resolve(router.getKey() + ".ini");
            Files.writeString(settings, settings(router.getKey(), router.getValue(), plan, operator, fleet));
            lines.append(router.getKey())
                    .append("\trouter --settings ")
                    .append(settings)
                    .append('\n');
        }
        return lines.toString();
    }

    /** Returns the weights version of each model, in the format of the {@code --weights} option. */
    private static String weights(FleetConfiguration fleet) {
        return fleet.models().values().stream()
                .map(model -> model.name() + "=" + model.weightsVersion())
                .sorted()
                .collect(Collectors.joining(","));
    }

    private static String settings(
            String vm, DemoPlan.Router router, DemoPlan plan, KeySpec operator, FleetConfiguration fleet) {
        List<String> domains = fleet.targets().values().stream()
                .map(TargetSpec::failureDomain)
                .distinct()
                .sorted()
                .toList();
        String domain = domains.get(Math.floorMod(vm.hashCode(), domains.size()));
        return """
                [router]
                vm = %s
                failure-domain = %s
                callers = %s
                peers = %s
                admin = %s

                [platform]
                store = %s
                vm-list = %s

                [operators]
                digest = %s:%s

                [limits]
                drain-timeout-s = 20
                """.formatted(
                        vm,
                        domain,
                        router.callers(),
                        router.peers(),
                        router.admin(),
                        plan.store(),
                        plan.vmList(),
                        operator.salt(),
                        operator.digest());
    }
}
