package dev.bluebellshunt.core.control;

import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Executes tasks on the control thread. */
@FunctionalInterface
public interface ControlExecutor extends Executor {

    /**
     * Passes the result of an asynchronous call to a callback on the control thread.
     *
     * @param result the pending result
     * @param onValue called with the value on success
     * @param onFailure called with the failure, unwrapped from any {@link CompletionException}
     * @param <T> the type of the value
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the callbacks handle both outcomes
    default <T> void onCompletion(CompletionStage<T> result, Consumer<T> onValue, Consumer<Throwable> onFailure) {
        result.whenCompleteAsync(
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
