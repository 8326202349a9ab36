package dev.bluebellshunt.core.stream;

/**
 * Tracks the delivered part of a response across all targets that contribute to it.
 *
 * <p>Not thread-safe.
 */
public final class StreamProgress {

    private long delivered;
    private boolean complete;
    private boolean allEventsNumbered = true;

    /**
     * Determines how to handle an event from a target.
     *
     * @param event the event
     * @return the action for the event
     */
    public EventAction accept(StreamEvent event) {
        if (complete) {
            return EventAction.OUT_OF_ORDER;
        }
        if (event.isEnd()) {
            complete = true;
            return EventAction.END;
        }
        if (event.id() == StreamEvent.NO_ID) {
            allEventsNumbered =
                    allEventsNumbered && delivered > 0 && event.data().contains("\"usage\"");
            delivered += allEventsNumbered ? 0 : 1;
            return EventAction.DELIVER;
        }
        if (event.id() <= delivered) {
            return EventAction.DUPLICATE;
        }
        if (event.id() != delivered + 1) {
            return EventAction.OUT_OF_ORDER;
        }
        delivered = event.id();
        return EventAction.DELIVER;
    }

    /**
     * Returns the number of tokens delivered so far.
     *
     * @return the offset of the last token
     */
    public long delivered() {
        return delivered;
    }

    /**
     * Returns whether the end marker has been received.
     *
     * @return true for a complete response
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Returns whether another target can continue the response: nothing was delivered yet, or every
     * event carried its offset.
     *
     * @return false if continuing could lose or repeat tokens
     */
    public boolean canResume() {
        return !complete && (delivered == 0 || allEventsNumbered);
    }

    /** The action for an event. */
    public enum EventAction {
        /** Forward the event. */
        DELIVER,
        /** Forward the event; the response is complete. */
        END,
        /** Skip the event, which was delivered before. */
        DUPLICATE,
        /** Abort the stream: an event is missing or follows the end marker. */
        OUT_OF_ORDER
    }
}
