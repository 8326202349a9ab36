package dev.bluebellshunt.core.error;

/** The outcome of a request that failed. */
public enum Outcome {
    /** No target has started the request or will start it. */
    NOT_RUN("not_run"),
    /** A target may have run the request. */
    UNKNOWN("unknown");

    private final String wireName;

    Outcome(String wireName) {
        this.wireName = wireName;
    }

    /**
     * Returns the name of this outcome in responses.
     *
     * @return a stable lower-case name
     */
    public String wireName() {
        return wireName;
    }
}
