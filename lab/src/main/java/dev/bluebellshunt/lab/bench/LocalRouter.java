package dev.bluebellshunt.lab.bench;

import dev.bluebellshunt.configuration.ConfigurationBundle;
import dev.bluebellshunt.configuration.HostPort;
import dev.bluebellshunt.configuration.RouterSettings;
import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.key.ApiKey;
import dev.bluebellshunt.core.model.KeySpec;
import dev.bluebellshunt.core.spread.ConfigurationSystem;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.router.RouterDaemon;
import dev.bluebellshunt.standins.platform.StandInStore;
import dev.bluebellshunt.standins.platform.StandInVmList;
import dev.bluebellshunt.transport.HttpKeyValueStore;
import dev.bluebellshunt.transport.JsonHttpClient;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.client.HttpClient;

/** An in-process router with a single engine and with rate limits too high to take effect. */
final class LocalRouter {

    private static final String HOST = "127.0.0.1";
    private static final long POLL_INTERVAL_NANOS = 20_000_000;

    private final ApiKey key;
    private final RouterDaemon daemon;

    LocalRouter(HttpClient http, int enginePort, Closer closer) throws Exception {
        SecureRandom random = new SecureRandom();
        key = ApiKey.generate(random);
        StandInStore store = closer.add(new StandInStore(HOST, 0));
        StandInVmList vmList = closer.add(new StandInVmList(HOST, 0));
        KeySpec operator = ApiKey.generate(random).toSpec("operators", random);
        daemon = closer.add(new RouterDaemon(
                settings(store.port(), vmList.port(), operator), MonotonicClock.system(), InstantSource.system()));
        publish(http, store.port(), enginePort, key.toSpec("press", random));
        while (http.GET("http://" + HOST + ":" + daemon.adminPort() + "/readyz").getStatus() != 200) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    private static RouterSettings settings(int storePort, int vmListPort, KeySpec operator) {
        return new RouterSettings(
                "vm-1",
                "domain",
                new HostPort(HOST, 0),
                new HostPort(HOST, 0),
                new HostPort(HOST, 0),
                new HostPort(HOST, storePort),
                new HostPort(HOST, vmListPort),
                Set.of(),
                operator.salt() + ":" + operator.digest(),
                Duration.ofMinutes(10),
                Duration.ofSeconds(1),
                4 * 1024 * 1024,
                "",
                "text");
    }

    private static void publish(HttpClient http, int storePort, int enginePort, KeySpec key) {
        String files = "[workspace press]\nrate = 1000000000000\nburst = 1000000000000\n[model model]\nweights = v1\n"
                + "[key " + key.id() + "]\nworkspace = press\ndigest = " + key.salt() + ":" + key.digest() + "\n"
                + "[engine e]\naddress = 127.0.0.1:" + enginePort + "\nfailure-domain = d\nmodels = model\n";
        ConfigurationBundle bundle = new ConfigurationBundle(new TreeMap<>(Map.of("a.ini", files)));
        new HttpKeyValueStore(
                        new JsonHttpClient(http, JsonHttpClient.newMapper(), Step.PUBLISH), HOST + ":" + storePort)
                .compareAndSet(ConfigurationSystem.STORE_KEY, bundle.toJson(), 0)
                .join();
    }

    String address() {
        return HOST + ":" + daemon.callerPort();
    }

    String key() {
        return key.reveal();
    }
}
