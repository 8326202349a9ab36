package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.relay.model.RelayWorkspace;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.TargetChooser;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * How an engine comes by the shared beginning of a prompt without reading it again.
 *
 * @param domain requests of the same domain may share cached prompts
 * @param source the address of an engine or store to fetch from, or null
 * @param store the address of the store that is to keep the prompt once it is read, or null
 */
record CachePlan(
        String domain, @Nullable String source, @Nullable String store) {

    /** How large a request's own part may be against the shared ones, so that the store holds all shared parts. */
    private static final double MOST_OWN = 1.5;

    /** Requests share cached prompts only within the same walls and weights. */
    static String domain(@Nullable RelayWorkspace payer, long weights) {
        String walls = payer != null && payer.dedicated() ? "only:" + payer.name() : "shared";
        return walls + "/" + weights;
    }

    static CachePlan of(RelayContext context, LiveTarget target, CallerMarks marks, @Nullable RelayWorkspace payer) {
        String model = marks.model();
        String domain = domain(payer, model == null ? 0 : target.weights(model));
        return new CachePlan(domain, source(context, target, domain, marks), store(context, domain, marks));
    }

    /**
     * From the store where it has the whole shared beginning, since the store tells what it drops and engines don't;
     * else from the engine that read it last, or from the engine that reads it by rule.
     */
    private static @Nullable String source(RelayContext context, LiveTarget target, String domain, CallerMarks marks) {
        List<LiveTarget> engines =
                context.directory().snapshot().pool(target.entry().pool());
        List<String> sharedParts = marks.sharedParts();
        Optional<String> source = context.cacheStore()
                .source(domain, sharedParts)
                .or(() -> context.holders()
                        .source(engines, target, domain, sharedParts)
                        .map(holder -> holder.entry().address()));
        if (source.isPresent()) {
            return source.get();
        }
        String shared = marks.sharedPart();
        return Optional.ofNullable(shared)
                .flatMap(part -> TargetChooser.home(engines, part))
                .filter(home -> !home.entry().id().equals(target.entry().id()))
                .map(home -> home.entry().address())
                .orElse(null);
    }

    /**
     * The store keeps all of a prompt, also the request's own part, which nobody asks for again. So prompts are
     * saved of which that is a small part.
     */
    private static @Nullable String store(RelayContext context, String domain, CallerMarks marks) {
        List<String> sharedParts = marks.sharedParts();
        if (sharedParts.isEmpty() || marks.ownTokens() > marks.sharedTokens() * MOST_OWN) {
            return null;
        }
        return context.cacheStore().saveTo(domain, sharedParts.getLast()).orElse(null);
    }
}
