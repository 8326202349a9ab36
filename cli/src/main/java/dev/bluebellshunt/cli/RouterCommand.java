package dev.bluebellshunt.cli;

import dev.bluebellshunt.configuration.RouterSettings;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.router.RouterDaemon;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Runs a router until the process receives a termination signal. */
public final class RouterCommand implements Command {

    @Override
    public String name() {
        return "router";
    }

    @Override
    public String summary() {
        return "Runs a router; SIGTERM shuts it down gracefully.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CliOptions.required("settings", "FILE", "the settings file of the process, in INI format"));
    }

    @Override
    public int run(CommandLine line, Console console) throws InterruptedException {
        RouterSettings settings = RouterSettings.read(Path.of(line.getOptionValue("settings")));
        LogFormat.apply(settings.logFormat());
        RouterDaemon daemon = new RouterDaemon(settings, MonotonicClock.system(), InstantSource.system());
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            daemon.drain();
            daemon.close();
            stopped.countDown();
        }));
        stopped.await();
        return ExitCode.OK;
    }
}
