package dev.bluebellshunt.relay.target;

import java.time.Duration;

/**
 * Estimates whether a request can still meet its objective on an engine, or at least start before its deadline.
 *
 * <p>A request that misses its objective is queued behind those that can still meet theirs. One that would not start
 * before its deadline is rejected at once, so that its caller can try elsewhere while there is time.
 */
public final class CompletionEstimate {

    private CompletionEstimate() {}

    /** What a request can still achieve. */
    public sealed interface Outcome {

        /** The request can meet its objective. */
        record OnTime() implements Outcome {}

        /** The request misses its objective, but can start before its deadline. */
        record Late() implements Outcome {}

        /**
         * The request would not start before its deadline.
         *
         * @param queue the time until the requests that already miss their objectives have started
         */
        record Hopeless(Duration queue) implements Outcome {}
    }

    /**
     * Estimates the outcome of a request to an application, which runs requests in the order of their arrival.
     *
     * @param selection the application and its queue
     * @param remainingMillis the time until the deadline of the request
     * @return {@link Outcome.Hopeless} if the response would come after the deadline, otherwise {@link Outcome.OnTime}
     */
    public static Outcome estimateApplication(PoolTargetSelector.Selection selection, long remainingMillis) {
        double serviceMillis = selection.target().load().serviceTime().millis();
        int slots = Math.max(1, selection.target().entry().slots());
        double waitMillis = serviceMillis * selection.queuedRequests() / slots;
        boolean hopeless = selection.queuedRequests() > 0 && waitMillis + serviceMillis > remainingMillis;
        return hopeless ? new Outcome.Hopeless(Duration.ofMillis((long) waitMillis)) : new Outcome.OnTime();
    }

    /**
     * Records the time to the response of an application, if it had a free slot.
     *
     * @param selection the application and its queue when the request was sent
     * @param sinceSend the time from the send to the response
     */
    public static void recordResponse(PoolTargetSelector.Selection selection, Duration sinceSend) {
        if (selection.queuedRequests() == 0) {
            selection.target().load().serviceTime().record(sinceSend);
        }
    }

    /**
     * Estimates the outcome of a request to an engine.
     *
     * @param selection the engine and its queue
     * @param promptTokens the tokens of the prompt that are not cached
     * @param elapsedMillis the time since the request arrived
     * @param objectiveMillis the time from the arrival to the first event that the route asks for
     * @param remainingMillis the time until the deadline of the request
     * @return the outcome
     */
    public static Outcome estimate(
            PoolTargetSelector.Selection selection,
            long promptTokens,
            long elapsedMillis,
            long objectiveMillis,
            long remainingMillis) {
        long startMillis = selection.prefillMillis(selection.backlogTokens() + promptTokens);
        if (elapsedMillis + startMillis <= objectiveMillis) {
            return new Outcome.OnTime();
        }
        long lateQueueMillis = selection.prefillMillis(selection.lateTokens());
        return startMillis + lateQueueMillis > remainingMillis
                ? new Outcome.Hopeless(Duration.ofMillis(lateQueueMillis))
                : new Outcome.Late();
    }
}
