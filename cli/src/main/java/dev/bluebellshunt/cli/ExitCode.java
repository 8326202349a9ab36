package dev.bluebellshunt.cli;

/** The exit codes of the command line. */
public final class ExitCode {

    /** All went well. */
    public static final int OK = 0;

    /** The command failed. */
    public static final int FAILED = 1;

    /** The words on the command line were wrong. */
    public static final int USAGE = 2;

    /** Another operator's change came first. */
    public static final int CONFLICT = 3;

    private ExitCode() {}
}
