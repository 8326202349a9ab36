package dev.bluebellshunt.core.stream;

/**
 * What of one answer has been delivered, over all targets that have worked on it.
 *
 * <p>Used by one thread at a time.
 */
public final class StreamProgress {

    private long delivered;
    private boolean complete;
    private boolean numbered = true;

    /**
     * Decides what to do with an event that a target sent.
     *
     * @param event the event
     * @return what to do with it
     */
    public Verdict accept(StreamEvent event) {
        if (complete) {
            return Verdict.OUT_OF_ORDER;
        }
        if (event.isEnd()) {
            complete = true;
            return Verdict.END;
        }
        if (event.id() == StreamEvent.NO_ID) {
            numbered = numbered && delivered > 0 && event.data().contains("\"usage\"");
            delivered += numbered ? 0 : 1;
            return Verdict.DELIVER;
        }
        if (event.id() <= delivered) {
            return Verdict.DUPLICATE;
        }
        if (event.id() != delivered + 1) {
            return Verdict.OUT_OF_ORDER;
        }
        delivered = event.id();
        return Verdict.DELIVER;
    }

    /**
     * Tokens delivered so far.
     *
     * @return the offset of the last one
     */
    public long delivered() {
        return delivered;
    }

    /**
     * Whether the end marker has come.
     *
     * @return true for a complete answer
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Whether another target can go on with the answer: nothing was delivered yet, or every event
     * carried its offset.
     *
     * @return false where a join could lose or repeat tokens
     */
    public boolean canResume() {
        return !complete && (delivered == 0 || numbered);
    }

    /** What to do with an event. */
    public enum Verdict {
        /** Pass it on. */
        DELIVER,
        /** Pass it on; the answer is complete. */
        END,
        /** Leave it out; it was delivered before. */
        DUPLICATE,
        /** Break the stream off: events are missing, or come after the end. */
        OUT_OF_ORDER
    }
}
