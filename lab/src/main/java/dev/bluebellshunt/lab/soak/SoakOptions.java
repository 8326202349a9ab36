package dev.bluebellshunt.lab.soak;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;
import org.jspecify.annotations.Nullable;

/**
 * The arguments of a soak.
 *
 * @param seed the seed of all that is drawn
 * @param traffic how long clients send
 * @param vms the number of VMs
 * @param site how many targets and clients there are
 * @param folder the folder for logs and records, or null for a new one below the root's target folder
 * @param root the repository root whose deployed VMs are driven
 */
record SoakOptions(
        long seed,
        Duration traffic,
        int vms,
        Site site,
        @Nullable Path folder,
        Path root) {

    private static final double MAX_MINUTES = 24 * 60;
    private static final double MILLIS_PER_MINUTE = 60_000;
    private static final int MAX_VMS = 200;

    /** The size of a deployment. */
    enum Site {
        /** A few processes. */
        SMALL(3, 2, 1, 3, 14),
        /** Dozens of processes. */
        GROWN(8, 8, 4, 10, 60);

        private final int vms;
        private final int streamEngines;
        private final int onceEngines;
        private final int applications;
        private final int clients;

        Site(int vms, int streamEngines, int onceEngines, int applications, int clients) {
            this.vms = vms;
            this.streamEngines = streamEngines;
            this.onceEngines = onceEngines;
            this.applications = applications;
            this.clients = clients;
        }

        int streamEngines() {
            return streamEngines;
        }

        int onceEngines() {
            return onceEngines;
        }

        int applications() {
            return applications;
        }

        int clients() {
            return clients;
        }
    }

    static SoakOptions parse(CommandLine line, Path home) throws ParseException {
        if (!line.getArgList().isEmpty()) {
            throw new ParseException("unexpected argument '" + line.getArgList().getFirst() + "'");
        }
        Site site = site(line.getOptionValue("site", "small"));
        String folder = line.getOptionValue("folder");
        return new SoakOptions(
                seed(line),
                traffic(line),
                (int) wholeNumber(line, "vms", Integer.toString(site.vms), 1, MAX_VMS),
                site,
                folder == null ? null : Path.of(folder),
                Path.of(line.getOptionValue("root", home.toString())));
    }

    private static Site site(String name) throws ParseException {
        return switch (name) {
            case "small" -> Site.SMALL;
            case "grown" -> Site.GROWN;
            default -> throw new ParseException("--site must be small or grown");
        };
    }

    private static long seed(CommandLine line) throws ParseException {
        if (!line.hasOption("seed")) {
            throw new ParseException("--seed is missing");
        }
        return wholeNumber(line, "seed", "", Long.MIN_VALUE, Long.MAX_VALUE);
    }

    private static Duration traffic(CommandLine line) throws ParseException {
        String text = line.getOptionValue("minutes");
        if (text == null) {
            throw new ParseException("--minutes is missing");
        }
        double minutes;
        try {
            minutes = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new ParseException("--minutes must be a number");
        }
        if (!(minutes > 0 && minutes <= MAX_MINUTES)) {
            throw new ParseException("--minutes must be above 0 and at most " + (int) MAX_MINUTES);
        }
        return Duration.ofMillis((long) (minutes * MILLIS_PER_MINUTE));
    }

    private static long wholeNumber(CommandLine line, String name, String defaultValue, long min, long max)
            throws ParseException {
        long value;
        try {
            value = Long.parseLong(line.getOptionValue(name, defaultValue));
        } catch (NumberFormatException e) {
            throw new ParseException("--" + name + " must be an integer");
        }
        if (value < min || value > max) {
            throw new ParseException("--" + name + " must be from " + min + " to " + max);
        }
        return value;
    }

    /** Returns the command line that repeats this soak. */
    String commandLine() {
        double minutes = traffic.toMillis() / MILLIS_PER_MINUTE;
        return String.format(
                Locale.ROOT,
                "bluebellshunt soak --seed %d --minutes %s --vms %d --site %s",
                seed,
                minutes,
                vms,
                site.name().toLowerCase(Locale.ROOT));
    }
}
