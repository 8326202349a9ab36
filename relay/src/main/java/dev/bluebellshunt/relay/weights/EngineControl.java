package dev.bluebellshunt.relay.weights;

import dev.bluebellshunt.relay.model.TargetEntry;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Asks engines for their state and orders them to load weights. */
public interface EngineControl {

    /**
     * Asks an engine for its state.
     *
     * @param engine the engine
     * @return its state; fails where it does not answer as that incarnation
     */
    CompletableFuture<EngineReport> report(TargetEntry engine);

    /**
     * Orders an engine to load weights.
     *
     * @param engine the engine
     * @param order the order
     * @return what it answered; a failure leaves open whether the order will be carried out
     */
    CompletableFuture<OrderAnswer> order(TargetEntry engine, WeightsOrder order);

    /**
     * An engine's state.
     *
     * @param weights the version of the weights of each model
     * @param busy whether an order is in progress
     * @param sequence how many orders it has accepted
     */
    record EngineReport(Map<String, Long> weights, boolean busy, long sequence) {}

    /**
     * An order to load weights.
     *
     * @param model the model
     * @param version the version to load
     * @param holder who gives the order
     * @param fence grows with each holder
     * @param expectedSequence the engine's count of orders, without which it does not take this one
     * @param running what becomes of its running requests
     */
    record WeightsOrder(
            String model, long version, String holder, long fence, long expectedSequence, RunningRequests running) {}

    /** What becomes of requests that run as an engine is ordered to load weights. */
    enum RunningRequests {
        /** The engine takes no others until they have ended, and loads then. */
        END_BEFORE,
        /** The engine loads at once, and they go on under the new weights. */
        GO_ON
    }

    /** What an engine answers to an order. */
    enum OrderAnswer {
        /** It is loading. */
        ACCEPTED,
        /** It has these weights. */
        HELD,
        /** Another order is in progress, or has been taken since. */
        CONFLICT,
        /** It has seen a holder with a higher fence. */
        FENCED,
        /** It can't carry out the order. */
        REJECTED
    }
}
