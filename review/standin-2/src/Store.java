import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as PROTOCOL.md and the fourteenth letter (restores) describe it. */
final class Store implements AutoCloseable {
    private record Item(String key, String value, long revision, long created, long lease) {
        Map<String, Object> json() {
            return Json.map("key", key, "value", value, "revision", revision, "created", created, "lease", lease);
        }
    }

    private record Change(long revision, String key, Item item) {}

    /** All that a restore brings back. */
    record Copy(long revision, Map<String, Object> items, Map<Long, Long> leaseTtls) {}

    private final Http.Server server;
    private TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private Map<Long, Long> leaseTtls = new HashMap<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private long revision = 100;
    private long firstKnownRevision = 100;
    private long lastLease = 7_000;
    private long era = 1;
    private volatile boolean away;

    Store() throws IOException {
        server = new Http.Server(0, 0, this::serve);
        Thread.ofVirtual().start(() -> {
            while (true) {
                try {
                    Thread.sleep(50);
                } catch (InterruptedException e) {
                    return;
                }
                expire();
            }
        });
    }

    String address() {
        return server.address();
    }

    private synchronized void expire() {
        if (away) {
            return;
        }
        long now = System.nanoTime();
        for (Long lease : List.copyOf(leaseEnds.keySet())) {
            if (leaseEnds.get(lease) - now < 0) {
                endLease(lease);
            }
        }
    }

    private void endLease(long lease) {
        leaseEnds.remove(lease);
        leaseTtls.remove(lease);
        List<String> keys = items.values().stream()
                .filter(item -> item.lease() == lease)
                .map(Item::key)
                .toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::remove);
            notifyAll();
        }
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            history.add(new Change(revision, key, null));
        }
    }

    /** Writes an item as the operator or an engine does, and returns its revision. */
    synchronized long put(String key, String value) {
        revision++;
        set(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
        return revision;
    }

    private void set(String key, String value, long lease) {
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        history.add(new Change(revision, key, item));
    }

    synchronized void delete(String key) {
        if (items.containsKey(key)) {
            revision++;
            remove(key);
            notifyAll();
        }
    }

    /** Copies the store for a later restore. */
    synchronized Copy copy() {
        return new Copy(revision, new TreeMap<>(items), new HashMap<>(leaseTtls));
    }

    /** The store does not answer, and its connections end. */
    void goAway() {
        away = true;
        server.dropConnections();
    }

    boolean isAway() {
        return away;
    }

    /** The store answers again, with the same content. */
    synchronized void comeBack() {
        away = false;
        notifyAll();
    }

    /** The store answers again, with the content of a copy. */
    synchronized void restore(Copy copy) {
        TreeMap<String, Item> restored = new TreeMap<>();
        copy.items().forEach((key, item) -> restored.put(key, (Item) item));
        items = restored;
        revision = copy.revision();
        leaseTtls = new HashMap<>(copy.leaseTtls());
        leaseEnds.clear();
        leaseTtls.forEach((lease, ttl) -> leaseEnds.put(lease, System.nanoTime() + ttl * 1_000_000));
        history.clear();
        firstKnownRevision = revision;
        era++;
        away = false;
        server.dropConnections();
        notifyAll();
    }

    private boolean serve(Http.Message head, InputStream in, Socket connection, OutputStream out) throws Exception {
        Http.Message request = Http.withBody(head, in);
        if (away) {
            return false;
        }
        String[] target = request.path().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        long eraBefore = currentEra();
        Answer answer = answer(request, target[0], query);
        synchronized (this) {
            if (away || era != eraBefore) {
                return false;
            }
            out.write(Http.response(
                    answer.status(),
                    Map.of("Content-Type", "application/json", "Store-Era", Long.toString(era)),
                    Json.write(answer.body()).getBytes(StandardCharsets.UTF_8)));
            out.flush();
        }
        return true;
    }

    private synchronized long currentEra() {
        return era;
    }

    private record Answer(int status, Object body) {}

    private synchronized Answer answer(Http.Message request, String path, Map<String, String> query)
            throws InterruptedException {
        if (path.equals(Names.KEY_CALL)) {
            Item item = items.get(query.get("key"));
            if (item == null) {
                return new Answer(404, Json.map("current-rev", revision));
            }
            Map<String, Object> body = item.json();
            body.put("current-rev", revision);
            return new Answer(200, body);
        }
        if (path.equals(Names.RANGE_CALL)) {
            List<Object> found = new ArrayList<>();
            String after = query.get("after");
            for (Item item : items.values()) {
                if (item.key().startsWith(query.get("prefix")) && (after == null || item.key().compareTo(after) > 0)) {
                    found.add(item.json());
                }
            }
            return new Answer(200, Json.map("items", found, "more-pages", false, "current-rev", revision));
        }
        if (path.equals(Names.WATCH_CALL)) {
            return watch(
                    query.get("prefix"),
                    Long.parseLong(query.get("after")),
                    Long.parseLong(query.get("wait-timeout-ms")));
        }
        if (path.equals(Names.TRANSACTION_CALL)) {
            return transact(Json.readObject(request.text()));
        }
        if (path.equals(Names.GRANT_CALL)) {
            long ttl = (Long) Json.readObject(request.text()).get("ttl-ms");
            long lease = ++lastLease;
            leaseTtls.put(lease, ttl);
            leaseEnds.put(lease, System.nanoTime() + ttl * 1_000_000);
            return new Answer(200, Json.map("lease", lease, "ttl-ms", ttl));
        }
        if (path.startsWith(Names.RENEW_CALL)) {
            long lease = Long.parseLong(path.substring(Names.RENEW_CALL.length()));
            Long ttl = leaseTtls.get(lease);
            if (ttl == null) {
                return new Answer(404, Json.map());
            }
            leaseEnds.put(lease, System.nanoTime() + ttl * 1_000_000);
            return new Answer(200, Json.map("ttl-ms", ttl));
        }
        if (path.startsWith(Names.REVOKE_CALL)) {
            endLease(Long.parseLong(path.substring(Names.REVOKE_CALL.length())));
            return new Answer(200, Json.map());
        }
        return new Answer(404, Json.map());
    }

    private Answer watch(String prefix, long after, long waitMillis) throws InterruptedException {
        if (after < firstKnownRevision || after > revision) {
            return new Answer(410, Json.map("current-rev", revision));
        }
        long watchedEra = era;
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            if (away || era != watchedEra) {
                return new Answer(410, Json.map("current-rev", revision));
            }
            List<Object> events = new ArrayList<>();
            for (Change change : history) {
                if (change.revision() > after && change.key().startsWith(prefix)) {
                    events.add(
                            change.item() == null
                                    ? Json.map("key", change.key(), "revision", change.revision(), "deleted", true)
                                    : change.item().json());
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return new Answer(200, Json.map("events", events, "current-rev", revision));
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private Answer transact(Map<String, Object> transaction) {
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object row : (List<Object>) transaction.get("precondition")) {
            Map<String, Object> expected = (Map<String, Object>) row;
            Item item = items.get((String) expected.get("key"));
            holds &= (item == null ? 0 : item.revision()) == (Long) expected.get("revision");
            if (item != null) {
                current.add(item.json());
            }
        }
        if (!holds) {
            return new Answer(412, Json.map("items", current));
        }
        List<Object> writes = (List<Object>) transaction.get("set-keys");
        for (Object row : writes) {
            long lease = (Long) ((Map<String, Object>) row).get("lease");
            if (lease != 0 && !leaseTtls.containsKey(lease)) {
                return new Answer(404, Json.map());
            }
        }
        revision++;
        for (Object row : writes) {
            Map<String, Object> write = (Map<String, Object>) row;
            set((String) write.get("key"), (String) write.get("value"), (Long) write.get("lease"));
        }
        for (Object key : (List<Object>) transaction.get("delete-keys")) {
            remove((String) key);
        }
        notifyAll();
        return new Answer(200, Json.map("revision", revision));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
