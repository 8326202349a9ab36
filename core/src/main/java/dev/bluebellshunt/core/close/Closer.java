package dev.bluebellshunt.core.close;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** Collects resources and closes them in reverse order of registration. */
public final class Closer implements AutoCloseable {

    private final Deque<AutoCloseable> resources = new ArrayDeque<>();

    /**
     * Registers a resource.
     *
     * @param resource the resource
     * @param <T> its type
     * @return the resource
     */
    public synchronized <T extends AutoCloseable> T add(T resource) {
        resources.push(resource);
        return resource;
    }

    /** Closes all registered resources, even if closing some of them fails. */
    @Override
    public void close() {
        RuntimeException failure = null;
        for (AutoCloseable resource = pollNext(); resource != null; resource = pollNext()) {
            try {
                resource.close();
            } catch (Exception e) {
                if (failure == null) {
                    failure = new IllegalStateException("failed to close a resource", e);
                } else {
                    failure.addSuppressed(e);
                }
            }
        }
        if (failure != null) {
            throw failure;
        }
    }

    private synchronized @Nullable AutoCloseable pollNext() {
        return resources.poll();
    }
}
