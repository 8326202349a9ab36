package dev.bluebellshunt.standins.platform;

import dev.bluebellshunt.standins.Exchange;
import dev.bluebellshunt.standins.StandInServer;
import java.util.List;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** A stand-in for the platform's list of VMs; a PUT replaces the list. */
public final class StandInVmList implements AutoCloseable {

    private final StandInServer server;
    private volatile List<Vm> vms = List.of();

    /**
     * Starts a list without VMs.
     *
     * @param host the IP number on which it listens
     * @param port the port, zero for any free one
     */
    public StandInVmList(String host, int port) {
        this.server = new StandInServer(host, port, new ListHandler());
    }

    /**
     * The port on which the list is served.
     *
     * @return a TCP port
     */
    public int port() {
        return server.port();
    }

    /**
     * Replaces the list.
     *
     * @param next the VMs
     */
    public void vms(List<Vm> next) {
        vms = List.copyOf(next);
    }

    @Override
    public void close() {
        server.close();
    }

    /**
     * A VM on the list.
     *
     * @param vm its name
     * @param host its IP number
     * @param role {@code router} or {@code target}
     * @param peerPort the TCP port for peers of a router, zero elsewhere
     * @param state {@code live} or {@code leaving}
     */
    public record Vm(String vm, String host, String role, int peerPort, String state) {}

    private final class ListHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            Exchange exchange = new Exchange(request, response, callback);
            if (exchange.is("PUT")) {
                vms(exchange.body(Listing.class).vms());
            }
            exchange.send(HttpStatus.OK_200, new Listing(vms));
            return true;
        }
    }

    private record Listing(List<Vm> vms) {}
}
