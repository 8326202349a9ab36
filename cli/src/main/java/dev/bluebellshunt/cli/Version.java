package dev.bluebellshunt.cli;

/** The program's version. */
final class Version {

    private Version() {}

    static String current() {
        String version = Version.class.getPackage().getImplementationVersion();
        return version == null ? "0.1.0" : version;
    }
}
