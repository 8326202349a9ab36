package dev.bluebellshunt.relay.weights;

import dev.bluebellshunt.core.target.TargetSignals;
import dev.bluebellshunt.relay.model.TargetEntry;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Reads the state of engines and orders them to load weights. */
public interface EngineControl {

    /**
     * Reads the state of an engine.
     *
     * @param engine the entry of the engine
     * @param signals receives what the engine says of itself in its response, whatever the result
     * @return the state; fails if there is no response, or a response from another incarnation
     */
    CompletableFuture<EngineState> readState(TargetEntry engine, Consumer<TargetSignals> signals);

    /**
     * Orders an engine to load weights.
     *
     * @param engine the entry of the engine
     * @param order the order
     * @param signals receives what the engine says of itself in its response, whatever the result
     * @return the result; after a failure it is unknown whether the engine executes the order
     */
    CompletableFuture<OrderResult> sendOrder(TargetEntry engine, WeightsOrder order, Consumer<TargetSignals> signals);

    /**
     * The state of an engine.
     *
     * @param weightsVersions the loaded version of the weights by model
     * @param orderInProgress whether an order is in progress
     * @param acceptedOrders the number of orders that the engine has accepted
     */
    record EngineState(Map<String, Long> weightsVersions, boolean orderInProgress, long acceptedOrders) {}

    /**
     * An order to load weights.
     *
     * @param model the model
     * @param version the version to load
     * @param holder the name of the VM that holds the rollout lease
     * @param fencingToken the fencing token, which increases with each lease holder
     * @param expectedAcceptedOrders the precondition: the number of orders that the engine has accepted
     * @param runningRequests the policy for requests that are running on the engine
     */
    record WeightsOrder(
            String model,
            long version,
            String holder,
            long fencingToken,
            long expectedAcceptedOrders,
            RunningRequestPolicy runningRequests) {}

    /** The policy for requests that are running when an engine is ordered to load weights. */
    enum RunningRequestPolicy {
        /** The engine rejects new requests until the running ones have ended, and loads then. */
        END_BEFORE,
        /** The engine loads immediately, and running requests continue with the new weights. */
        GO_ON
    }

    /** The result of an order. */
    enum OrderResult {
        /** The engine is loading the weights. */
        ACCEPTED,
        /**
         * The engine says that it already has these weights. Only its state proves that: a late copy of the engine's
         * earlier response to another call looks the same.
         */
        HELD,
        /** Another order is in progress, or has been accepted since the state was read. */
        CONFLICT,
        /** The engine has received an order with a higher fencing token. */
        FENCED,
        /** The engine can't execute the order. */
        REJECTED
    }
}
