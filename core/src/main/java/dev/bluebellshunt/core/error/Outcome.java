package dev.bluebellshunt.core.error;

/** What became of a request that did not end with an answer. */
public enum Outcome {
    /** No target has started the request, and none will. */
    NOT_RUN("not_run"),
    /** A target may have run the request. */
    UNKNOWN("unknown");

    private final String wireName;

    Outcome(String wireName) {
        this.wireName = wireName;
    }

    /**
     * The outcome's name in answers to callers.
     *
     * @return a stable lower-case name
     */
    public String wireName() {
        return wireName;
    }
}
