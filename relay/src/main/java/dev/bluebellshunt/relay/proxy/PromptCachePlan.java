package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.model.RelayWorkspace;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.target.PoolTargetSelector;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Where an engine can fetch the cached prefix of a prompt instead of computing it again, and where to save it.
 *
 * @param domain the cache domain, within which requests may share cached prompts
 * @param source the address of the engine or store to fetch the prefix from, or null
 * @param store the address of the store in which to save the prompt after prefill, or null
 */
record PromptCachePlan(
        String domain, @Nullable String source, @Nullable String store) {

    /**
     * Maximum ratio of unshared to shared tokens for a prompt to be saved. The limit keeps enough space in the store
     * for all shared parts.
     */
    private static final double MAX_UNSHARED_RATIO = 1.5;

    /**
     * Plans the use of cached prompts by a request for a model, which is about to be sent. The configuration in force at
     * this moment counts; it may be newer than the one that admitted the request.
     */
    static PromptCachePlan create(
            RelayContext context,
            LiveTarget target,
            CallerRequestMetadata metadata,
            @Nullable RelayWorkspace workspace,
            String model) {
        String domain = domain(context, target, workspace, model);
        return new PromptCachePlan(domain, source(context, target, domain, metadata), store(context, domain, metadata));
    }

    private static String domain(
            RelayContext context, LiveTarget target, @Nullable RelayWorkspace workspace, String model) {
        RelayConfiguration configuration =
                context.operatorState().configuration().orElseThrow();
        String scope = configuration.cacheScope(workspace == null ? null : workspace.name());
        return scope + "/" + target.weightsVersion(model);
    }

    /**
     * Returns how many tokens of a prompt an engine has to compute, as far as is known: all that are neither in the store
     * nor in the cache of an engine, from which they can be fetched in far less time.
     */
    static long uncachedTokens(
            RelayContext context,
            LiveTarget target,
            CallerRequestMetadata metadata,
            @Nullable RelayWorkspace workspace,
            String model) {
        List<String> sharedPartIds = metadata.sharedPartIds();
        if (sharedPartIds.isEmpty()) {
            return metadata.promptTokens();
        }
        String domain = domain(context, target, workspace, model);
        int cachedParts =
                context.cacheStoreIndex().findSource(domain, sharedPartIds).isPresent()
                        ? sharedPartIds.size()
                        : context.engineCacheIndex().countCached(domain, sharedPartIds);
        long cachedTokens = 0;
        for (int i = 0; i < cachedParts; i++) {
            cachedTokens += metadata.promptParts().get(i).tokens();
        }
        return Math.max(0, metadata.promptTokens() - cachedTokens);
    }

    /**
     * Prefers the store if it holds the entire shared prefix, because the store reports evictions and engines do
     * not. Falls back to the engine that last processed the prefix, and then to the engine that rendezvous hashing
     * assigns to the prefix.
     */
    private static @Nullable String source(
            RelayContext context, LiveTarget target, String domain, CallerRequestMetadata metadata) {
        List<LiveTarget> engines = context
                .targetDirectory()
                .snapshot()
                .pool(target.entry().pool())
                .stream()
                .filter(engine -> context.releases().sameVersion(engine, target))
                .toList();
        List<String> sharedPartIds = metadata.sharedPartIds();
        Optional<String> source = context.cacheStoreIndex()
                .findSource(domain, sharedPartIds)
                .or(() -> context.engineCacheIndex()
                        .findSource(engines, target, domain, sharedPartIds)
                        .map(engine -> engine.entry().address()));
        if (source.isPresent()) {
            return source.get();
        }
        String affinityKey = metadata.affinityKey();
        return Optional.ofNullable(affinityKey)
                .flatMap(key -> PoolTargetSelector.homeTarget(engines, key))
                .filter(home -> !home.entry().id().equals(target.entry().id()))
                .map(home -> home.entry().address())
                .orElse(null);
    }

    /**
     * The store keeps the whole prompt, including the unshared part, which is never requested again. Therefore only
     * prompts with a small unshared part are saved.
     */
    private static @Nullable String store(RelayContext context, String domain, CallerRequestMetadata metadata) {
        List<String> sharedPartIds = metadata.sharedPartIds();
        if (sharedPartIds.isEmpty() || metadata.unsharedTokens() > metadata.sharedTokens() * MAX_UNSHARED_RATIO) {
            return null;
        }
        return context.cacheStoreIndex()
                .claimSave(domain, sharedPartIds.getLast())
                .orElse(null);
    }
}
