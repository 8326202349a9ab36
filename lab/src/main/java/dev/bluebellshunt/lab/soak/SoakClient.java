package dev.bluebellshunt.lab.soak;

import dev.bluebellshunt.platform.standin.HttpConnection;
import dev.bluebellshunt.platform.standin.Operator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;

/**
 * A client that keeps a connection as long as its VM does, and takes no other sign that the VM leaves than a closed
 * connection or the header that announces it.
 */
final class SoakClient implements Runnable {

    private static final int READ_SLACK_MILLIS = 3_000;
    private static final int MIN_DEADLINE_MILLIS = 300;
    private static final int MAX_PAUSE_MILLIS = 70;
    private static final int MAX_SLOW_MILLIS = 400;
    private static final int MAX_LEAVE_MILLIS = 60;
    private static final int MAX_PIPELINED = 3;
    private static final int MAX_BODY_BYTES = 3_000;
    private static final int LARGE_BODY_BYTES = 200_000;
    private static final int SESSIONS = 6;
    private static final List<Operator.Route> ROUTES = List.of(Operator.Route.values());
    private static final List<Style> STYLES = List.of(Style.values());

    private final int number;
    private final Style style;
    private final SplittableRandom random;
    private final Balancer balancer;
    private final CallerRecord record;
    private final AtomicBoolean stop;
    private @Nullable HttpConnection connection;
    private String vmName = "none";
    private int requests;

    /** How a client uses its connections. */
    enum Style {
        KEEPS,
        PIPELINES,
        LEAVES,
        SLOW
    }

    /** Chooses the VM for a new connection. */
    interface Balancer {
        /** Returns the name and the address of a VM. */
        Vm choose(SplittableRandom random);

        /**
         * A VM as clients reach it.
         *
         * @param name the name
         * @param address the address
         */
        record Vm(String name, InetSocketAddress address) {}
    }

    SoakClient(int number, long seed, Balancer balancer, CallerRecord record, AtomicBoolean stop) {
        this.number = number;
        this.style = STYLES.get(number % STYLES.size());
        this.random = new SplittableRandom(seed);
        this.balancer = balancer;
        this.record = record;
        this.stop = stop;
    }

    @Override
    public void run() {
        try {
            while (!stop.get()) {
                exchange();
                Thread.sleep(random.nextInt(1, MAX_PAUSE_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            disconnect();
        }
    }

    private void exchange() throws InterruptedException {
        int count = style == Style.PIPELINES ? random.nextInt(1, MAX_PIPELINED + 1) : 1;
        boolean leaves = style == Style.LEAVES && random.nextInt(4) == 0;
        List<CallerRecord.Sent> batch = new ArrayList<>();
        try {
            HttpConnection open = connect();
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < count; i++) {
                text.append(draw(batch));
            }
            batch.forEach(record::add);
            write(open, text.toString());
            if (leaves) {
                Thread.sleep(random.nextInt(MAX_LEAVE_MILLIS));
                disconnect();
                return;
            }
            for (CallerRecord.Sent request : batch) {
                if (!read(open, request)) {
                    disconnect();
                    return;
                }
            }
        } catch (IOException e) {
            disconnect();
        }
    }

    private HttpConnection connect() throws IOException {
        HttpConnection open = connection;
        if (open == null) {
            Balancer.Vm vm = balancer.choose(random);
            vmName = vm.name();
            open = HttpConnection.open(vm.address(), READ_SLACK_MILLIS);
            connection = open;
        }
        return open;
    }

    private void disconnect() {
        HttpConnection open = connection;
        connection = null;
        if (open != null) {
            open.close();
        }
    }

    /** Draws a request, adds it to a batch, and returns its bytes. */
    private String draw(List<CallerRecord.Sent> batch) {
        Operator.Route route = ROUTES.get(random.nextInt(ROUTES.size()));
        String workspace = Operator.WORKSPACES.get(random.nextInt(Operator.WORKSPACES.size()));
        String requestId = String.format("%04x%06x%06x", number, requests++, random.nextInt(1 << 24));
        int bodyLength = random.nextInt(40) == 0 ? LARGE_BODY_BYTES : random.nextInt(1, MAX_BODY_BYTES);
        int deadline = random.nextInt(MIN_DEADLINE_MILLIS, route.timeoutMillis());
        batch.add(new CallerRecord.Sent(
                requestId,
                route,
                workspace,
                Operator.path(route, requestId),
                bodyLength,
                deadline,
                "client-" + number,
                vmName,
                System.currentTimeMillis()));
        return Operator.requestHead(route, requestId, workspace, deadline, random.nextInt(SESSIONS), bodyLength)
                + "b".repeat(bodyLength);
    }

    private void write(HttpConnection open, String text) throws IOException, InterruptedException {
        if (style != Style.SLOW) {
            open.write(text);
            return;
        }
        int cut = random.nextInt(text.length());
        open.write(text.substring(0, cut));
        Thread.sleep(random.nextInt(MAX_SLOW_MILLIS));
        open.write(text.substring(cut));
    }

    /** Reads an answer; returns whether another one may follow on the connection. */
    private boolean read(HttpConnection open, CallerRecord.Sent request) throws IOException {
        open.setTimeout(request.route().timeoutMillis() + READ_SLACK_MILLIS);
        HttpConnection.Head head;
        try {
            head = open.readHead();
        } catch (IOException e) {
            record.add(new CallerRecord.Answer(request.requestId(), 0, false, "", System.currentTimeMillis()));
            throw e;
        }
        HttpConnection.Body body = open.readBody(head);
        record.add(new CallerRecord.Answer(
                request.requestId(), head.status(), body.complete(), body.text(), System.currentTimeMillis()));
        return body.complete() && !head.header("Connection").equalsIgnoreCase("close");
    }
}
