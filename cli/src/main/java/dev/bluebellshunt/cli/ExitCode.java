package dev.bluebellshunt.cli;

/** The exit codes of the command line. */
public final class ExitCode {

    /** The command succeeded. */
    public static final int OK = 0;

    /** The command failed. */
    public static final int FAILED = 1;

    /** The command line was invalid. */
    public static final int USAGE = 2;

    /** Another revision was published concurrently. */
    public static final int CONFLICT = 3;

    private ExitCode() {}
}
