package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: items, ranges, watches, transactions and leases, all in order. */
final class Store {

    private static final ObjectMapper JSON = new ObjectMapper();

    private record Item(String value, long revision, long created, long lease) {}

    private record Event(String key, long revision, Item item) {}

    final Net.Server server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 10;

    Store(String host) throws IOException {
        this.server = new Net.Server(host, this::handle);
        Thread.ofPlatform().daemon().start(() -> {
            while (true) {
                expireLeases();
                Clock.sleep(20);
            }
        });
    }

    /** Writes an item as the operator or an engine does. */
    synchronized long put(String key, String json) {
        return set(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void delete(String key) {
        if (items.remove(key) != null) {
            history.add(new Event(key, ++revision, null));
            notifyAll();
        }
    }

    private long set(String key, String value, long lease) {
        Item previous = items.get(key);
        revision++;
        Item item = new Item(value, revision, previous == null ? revision : previous.created(), lease);
        items.put(key, item);
        history.add(new Event(key, revision, item));
        notifyAll();
        return revision;
    }

    private synchronized void expireLeases() {
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (now - lease[1] >= 0) {
                ended.add(id);
            }
        });
        ended.forEach(this::endLease);
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.lease() == id) {
                keys.add(key);
            }
        });
        keys.forEach(this::delete);
    }

    private void handle(Net.Connection connection, Net.Message request) throws Exception {
        String[] target = request.path().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        for (String pair : (target.length > 1 ? target[1] : "").split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
        }
        String path = target[0];
        if (path.equals(Names.WATCH_CALL)) {
            connection.respondJson(200, watch(query));
        } else if (path.equals(Names.RANGE_CALL)) {
            connection.respondJson(200, range(query.get("prefix")));
        } else if (path.equals(Names.TRANSACTION_CALL)) {
            transact(connection, JSON.readTree(request.body()));
        } else if (path.equals(Names.GRANT_CALL)) {
            connection.respondJson(200, grant(JSON.readTree(request.body()).path("ttl-ms").asLong()));
        } else if (path.startsWith(Names.RENEW_CALL)) {
            boolean renewed = renew(Long.parseLong(path.substring(Names.RENEW_CALL.length())));
            connection.respondJson(renewed ? 200 : 404, "{}");
        } else if (path.startsWith(Names.REVOKE_CALL)) {
            synchronized (this) {
                endLease(Long.parseLong(path.substring(Names.REVOKE_CALL.length())));
            }
            connection.respondJson(200, "{}");
        } else {
            connection.respondJson(404, "{}");
        }
    }

    private synchronized String grant(long ttlMillis) {
        long id = ++revision;
        leases.put(id, new long[] {ttlMillis, System.nanoTime() + ttlMillis * 1_000_000});
        return "{\"lease\":" + id + ",\"ttl-ms\":" + ttlMillis + "}";
    }

    private synchronized boolean renew(long id) {
        long[] lease = leases.get(id);
        if (lease == null) {
            return false;
        }
        lease[1] = System.nanoTime() + lease[0] * 1_000_000;
        return true;
    }

    private static ObjectNode itemNode(String key, Item item) {
        return JSON.createObjectNode()
                .put("key", key)
                .put("value", item.value())
                .put("revision", item.revision())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private synchronized String range(String prefix) {
        ObjectNode result = JSON.createObjectNode();
        ArrayNode found = result.putArray("items");
        items.tailMap(prefix).forEach((key, item) -> {
            if (key.startsWith(prefix)) {
                found.add(itemNode(key, item));
            }
        });
        return result.put("more-pages", false).put("current-rev", revision).toString();
    }

    private synchronized String watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait-timeout-ms")) * 1_000_000;
        while (true) {
            ObjectNode result = JSON.createObjectNode();
            ArrayNode events = result.putArray("events");
            for (Event event : history) {
                if (event.revision() > after && event.key().startsWith(prefix)) {
                    events.add(
                            event.item() == null
                                    ? JSON.createObjectNode()
                                            .put("key", event.key())
                                            .put("revision", event.revision())
                                            .put("deleted", true)
                                    : itemNode(event.key(), event.item()));
                }
            }
            long remaining = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || remaining <= 0) {
                return result.put("current-rev", revision).toString();
            }
            wait(remaining);
        }
    }

    private void transact(Net.Connection connection, JsonNode body) throws IOException {
        String answer;
        int status = 200;
        synchronized (this) {
            boolean holds = true;
            for (JsonNode row : body.path("precondition")) {
                Item item = items.get(row.path("key").asText());
                holds &= (item == null ? 0 : item.revision()) == row.path("revision").asLong();
            }
            boolean leased = true;
            for (JsonNode row : body.path("set-keys")) {
                long lease = row.path("lease").asLong();
                leased &= lease == 0 || leases.containsKey(lease);
            }
            if (!holds) {
                status = 412;
                answer = "{\"items\":[]}";
            } else if (!leased) {
                status = 404;
                answer = "{}";
            } else {
                for (JsonNode row : body.path("set-keys")) {
                    set(row.path("key").asText(), row.path("value").asText(), row.path("lease").asLong());
                }
                body.path("delete-keys").forEach(key -> delete(key.asText()));
                answer = "{\"revision\":" + revision + "}";
            }
        }
        connection.respondJson(status, answer);
    }
}
