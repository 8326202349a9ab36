package dev.bluebellshunt.relay.store;

/**
 * What the platform is told of the latest order to move a pool to another software version.
 *
 * @param pool the name of the pool
 * @param targetVersion the version that the order names
 * @param state how far the release has come
 */
public record ReleaseStatus(String pool, String targetVersion, State state) {

    /** How far a release has come. */
    public enum State {
        /** Both versions have to go on. */
        RUNNING,
        /** The targets of the old version may stop at once. */
        COMPLETED,
        /** The targets of the new version may stop. */
        ROLLED_BACK
    }
}
