package dev.bluebellshunt.standins.platform;

import dev.bluebellshunt.standins.HttpExchange;
import dev.bluebellshunt.standins.StandInServer;
import java.util.List;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Stand-in for the platform's VM list service. A PUT request replaces the list. */
public final class StandInVmList implements AutoCloseable {

    private final StandInServer server;
    private volatile List<Vm> vms = List.of();

    /**
     * Starts the service with an empty list.
     *
     * @param host the IP address to listen on
     * @param port the TCP port to listen on, or 0 for any free port
     */
    public StandInVmList(String host, int port) {
        this.server = new StandInServer(host, port, new ListHandler());
    }

    /**
     * Returns the port on which the service listens.
     *
     * @return the TCP port
     */
    public int port() {
        return server.port();
    }

    /**
     * Replaces the VM list.
     *
     * @param newVms the new list
     */
    public void setVms(List<Vm> newVms) {
        vms = List.copyOf(newVms);
    }

    @Override
    public void close() {
        server.close();
    }

    /**
     * An entry of the VM list.
     *
     * @param vm the VM name
     * @param host the IP address
     * @param role {@code router} or {@code target}
     * @param peerPort the TCP port of the peer API of a router, or 0 for a target
     * @param state {@code live} or {@code leaving}
     */
    public record Vm(String vm, String host, String role, int peerPort, String state) {}

    private final class ListHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            HttpExchange exchange = new HttpExchange(request, response, callback);
            if (exchange.hasMethod("PUT")) {
                setVms(exchange.readBody(Listing.class).vms());
            }
            exchange.sendResponse(HttpStatus.OK_200, new Listing(vms));
            return true;
        }
    }

    private record Listing(List<Vm> vms) {}
}
