package dev.bluebellshunt.lab.demo;

import dev.bluebellshunt.cli.PublishedConfiguration;
import dev.bluebellshunt.configuration.ConfigurationBundle;
import dev.bluebellshunt.configuration.HostPort;
import dev.bluebellshunt.core.codec.Json;
import dev.bluebellshunt.core.store.CompareAndSetResult;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;

/** The processes of a demo: registers, configures, stops and queries them. */
final class DemoFleet {

    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    private static final int OK = 200;

    private final Path dir;
    private final DemoPlan plan;
    private final HttpClient http;

    DemoFleet(Path dir, DemoPlan plan, HttpClient http) {
        this.dir = dir;
        this.plan = plan;
        this.http = http;
    }

    /** Registers the VMs, publishes the configuration and waits until all routers are ready. */
    void start() throws InterruptedException {
        await(
                "the platform",
                () -> status(plan.store(), "/v1/kv?prefix=none") == OK && status(plan.vmList(), "/v1/vms") == OK);
        registerVms();
        plan.engines().forEach((name, address) -> await(name, () -> status(address, "/status") == OK));
        plan.applications().forEach((name, address) -> await(name, () -> status(address, "/status") == OK));
        publish(plan.files());
        for (Map.Entry<String, DemoPlan.Router> router : plan.routers().entrySet()) {
            await(router.getKey(), () -> isReady(router.getKey()));
        }
    }

    boolean isReady(String router) {
        DemoPlan.Router addresses = plan.routers().get(router);
        return addresses != null && status(addresses.admin(), "/readyz") == OK;
    }

    private void registerVms() throws InterruptedException {
        List<Map<String, Object>> vms = new ArrayList<>();
        plan.routers().forEach((name, router) -> {
            HostPort peers = HostPort.parse(router.peers()).orElseThrow();
            vms.add(Map.of(
                    "vm", name, "host", peers.host(), "role", "router", "peerPort", peers.port(), "state", "live"));
        });
        byte[] body = Json.write(Map.of("vms", vms)).getBytes(StandardCharsets.UTF_8);
        try {
            http.newRequest("http://" + plan.vmList() + "/v1/vms")
                    .method(HttpMethod.PUT)
                    .body(new BytesRequestContent("application/json", body))
                    .send();
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("failed to register the VMs", e);
        }
    }

    /** Publishes the configuration without the given file, as if an operator had removed it from the folder. */
    void publishWithout(String file) {
        SortedMap<String, String> files = new TreeMap<>(plan.files());
        files.remove(file);
        publish(files);
    }

    private void publish(SortedMap<String, String> files) {
        HostPort store = HostPort.parse(plan.store()).orElseThrow();
        try (PublishedConfiguration published = new PublishedConfiguration(store)) {
            CompareAndSetResult result = published.publish(
                    new ConfigurationBundle(files), published.current().revision());
            if (!(result instanceof CompareAndSetResult.Written)) {
                throw new IllegalStateException("failed to publish the configuration because of a concurrent change");
            }
        }
    }

    /** Terminates a process, gracefully or forcibly; the launch script restarts it. */
    void stopProcess(String name, boolean gracefully) {
        try {
            long pid =
                    Long.parseLong(Files.readString(dir.resolve(name + ".pid")).strip());
            ProcessHandle.of(pid).ifPresent(process -> {
                if (gracefully) {
                    process.destroy();
                } else {
                    process.destroyForcibly();
                }
            });
        } catch (IOException e) {
            throw new IllegalStateException("the PID file of process " + name + " cannot be read", e);
        }
    }

    /** Returns the body of a GET request to a process, or an empty string if the request fails. */
    String get(String address, String path) {
        try {
            ContentResponse response = http.GET("http://" + address + path);
            return response.getStatus() == OK ? response.getContentAsString() : "";
        } catch (ExecutionException | TimeoutException e) {
            return "";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "";
        }
    }

    private int status(String address, String path) {
        try {
            return http.GET("http://" + address + path).getStatus();
        } catch (ExecutionException | TimeoutException e) {
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    private static void await(String what, BooleanSupplier condition) {
        long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw new IllegalStateException(what + " did not become ready in time");
            }
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }
}
