package dev.bluebellshunt.core.control;

import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Runs work on the control thread. */
@FunctionalInterface
public interface ControlExecutor extends Executor {

    /**
     * Takes the answer of a call on the control thread.
     *
     * @param answer the call's answer
     * @param onValue takes the value
     * @param onFailure takes the failure, unwrapped
     * @param <T> the type of the value
     */
    @SuppressWarnings("FutureReturnValueIgnored") // both outcomes are handled
    default <T> void await(CompletionStage<T> answer, Consumer<T> onValue, Consumer<Throwable> onFailure) {
        answer.whenCompleteAsync(
                (value, failure) -> {
                    if (failure == null) {
                        onValue.accept(value);
                    } else {
                        onFailure.accept(unwrap(failure));
                    }
                },
                this);
    }

    private static Throwable unwrap(Throwable failure) {
        Throwable cause = failure.getCause();
        return failure instanceof CompletionException && cause != null ? cause : failure;
    }
}
