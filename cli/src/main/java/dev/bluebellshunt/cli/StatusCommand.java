package dev.bluebellshunt.cli;

import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.transport.HttpClients;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/** Prints a status report of a router. */
public final class StatusCommand implements Command {

    private static final List<String> TOPICS = List.of("status", "targets", "workspaces", "members");

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "Shows a router's status, targets, workspaces or members.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CliOptions.required("admin", "IP:PORT", "the admin address of the router"))
                .addOption(CliOptions.required("credential", "KEY", "the operator credential"))
                .addOption(CliOptions.optional("topic", "TOPIC", "one of " + String.join(", ", TOPICS)));
    }

    @Override
    public int run(CommandLine line, Console console) throws Exception {
        String topic = line.getOptionValue("topic", "status");
        if (!TOPICS.contains(topic)) {
            throw new IllegalArgumentException("unknown topic '" + topic + "'");
        }
        try (Closer closer = new Closer()) {
            HttpClient http = HttpClients.start("cli", closer);
            ContentResponse response = http.newRequest("http://" + CliOptions.hostPort(line, "admin") + "/v1/" + topic)
                    .headers(headers ->
                            headers.put(HttpHeader.AUTHORIZATION, "Bearer " + line.getOptionValue("credential")))
                    .send();
            console.print("%s", response.getContentAsString());
            return response.getStatus() == HttpStatus.OK_200 ? ExitCode.OK : ExitCode.FAILED;
        }
    }
}
