package dev.bluebellshunt.core.close;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** Gathers resources and closes them, last one first. */
public final class Closer implements AutoCloseable {

    private final Deque<AutoCloseable> resources = new ArrayDeque<>();

    /**
     * Adds a resource.
     *
     * @param resource the resource
     * @param <T> its type
     * @return the resource
     */
    public synchronized <T extends AutoCloseable> T add(T resource) {
        resources.push(resource);
        return resource;
    }

    /** Closes all resources; a failure of one does not keep the others open. */
    @Override
    public void close() {
        RuntimeException failure = null;
        for (AutoCloseable resource = next(); resource != null; resource = next()) {
            try {
                resource.close();
            } catch (Exception e) {
                if (failure == null) {
                    failure = new IllegalStateException("a resource could not be closed", e);
                } else {
                    failure.addSuppressed(e);
                }
            }
        }
        if (failure != null) {
            throw failure;
        }
    }

    private synchronized @Nullable AutoCloseable next() {
        return resources.poll();
    }
}
