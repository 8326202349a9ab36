package dev.bluebellshunt.relay.testing;

import dev.bluebellshunt.core.target.TargetSignals;
import dev.bluebellshunt.relay.proxy.CallerRequestMetadata;
import dev.bluebellshunt.relay.proxy.HeaderCodec;
import dev.bluebellshunt.relay.proxy.TargetRequestMetadata;
import dev.bluebellshunt.relay.proxy.TargetResponseMetadata;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;

/** Header codec with header names that are used only in tests. */
public final class TestHeaderCodec implements HeaderCodec {

    private volatile Consumer<String> targetChosen = target -> {};
    private volatile Runnable callerHeadersRead = () -> {};
    private volatile Runnable responseHeadersRead = () -> {};

    /** Sets what happens after a target has been chosen for a request, and before the request is sent. */
    public void onTargetChosen(Consumer<String> action) {
        targetChosen = action;
    }

    /** Sets what happens when the headers of a caller's request are read, which is before it is authenticated. */
    public void onCallerHeadersRead(Runnable action) {
        callerHeadersRead = action;
    }

    /** Sets what happens when the headers of a target's response are read. */
    public void onResponseHeadersRead(Runnable action) {
        responseHeadersRead = action;
    }

    @Override
    public CallerRequestMetadata readCallerHeaders(HttpFields headers) {
        callerHeadersRead.run();
        String timeoutMillis = headers.get("t-timeout");
        String promptParts = headers.get("t-parts");
        return new CallerRequestMetadata(
                headers.get("t-id"),
                headers.get("authorization"),
                timeoutMillis == null ? null : Duration.ofMillis(Long.parseLong(timeoutMillis)),
                headers.get("t-model"),
                0,
                0,
                false,
                promptParts == null
                        ? List.of()
                        : Arrays.stream(promptParts.split(","))
                                .map(id -> new CallerRequestMetadata.PromptPart(id, 1))
                                .toList());
    }

    @Override
    public boolean isReserved(String lowerCaseName) {
        return lowerCaseName.equals("t-workspace") || lowerCaseName.equals("t-timeout");
    }

    @Override
    public void writeTargetHeaders(HttpFields.Mutable headers, TargetRequestMetadata metadata) {
        targetChosen.accept(metadata.targetId());
        headers.put("t-target", metadata.targetId());
        headers.put("t-timeout", Long.toString(metadata.timeout().toMillis()));
        if (metadata.cacheDomain() != null) {
            headers.put("t-cache-domain", metadata.cacheDomain());
        }
        if (metadata.workspace() != null) {
            headers.put("t-workspace", metadata.workspace());
        }
    }

    @Override
    public TargetResponseMetadata readResponseHeaders(String targetId, int status, HttpFields headers) {
        responseHeadersRead.run();
        return new TargetResponseMetadata(
                headers.get("t-id"),
                headers.contains("t-seal"),
                headers.contains("t-not-run"),
                headers.contains("t-other-target"),
                headers.contains("t-other-weights"),
                headers.contains("t-weights") ? Long.valueOf(headers.get("t-weights")) : null,
                headers.contains("t-other-target") ? TargetSignals.NONE : signals(headers));
    }

    private static TargetSignals signals(HttpFields headers) {
        return new TargetSignals(
                headers.contains("t-leaving"),
                headers.contains("t-retry-after") ? Duration.parse(headers.get("t-retry-after")) : null);
    }
}
