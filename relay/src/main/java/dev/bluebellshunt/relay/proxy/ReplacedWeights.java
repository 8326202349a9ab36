package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.relay.store.DesiredWeights;
import dev.bluebellshunt.relay.target.LiveTarget;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Records responses that begin on weights which operators had replaced. */
final class ReplacedWeights {

    private ReplacedWeights() {}

    /** Records how long the weights with which a response begins have been replaced. */
    static void record(
            RelayContext context,
            String requestId,
            LiveTarget target,
            String model,
            long weightsVersion,
            long sentNanos) {
        DesiredWeights desired = context.operatorState().weights().get(model);
        OptionalLong superseded = desired == null ? OptionalLong.empty() : desired.supersededNanos(weightsVersion);
        if (superseded.isEmpty()) {
            return;
        }
        Duration staleness = Duration.ofNanos(context.clock().nanos() - superseded.getAsLong());
        context.metrics().replacedWeights(staleness.toMillis() / 1_000.0);
        if (staleness.compareTo(context.maxWeightsStaleness()) > 0) {
            context.decisionLog()
                    .write(
                            "replaced_weights",
                            requestId,
                            "target",
                            target.entry().id(),
                            "weights",
                            weightsVersion,
                            "replaced_ms",
                            staleness.toMillis(),
                            "ms_since_send",
                            TimeUnit.NANOSECONDS.toMillis(context.clock().nanos() - sentNanos),
                            "configuration_age_ms",
                            context.operatorState().age().toMillis());
        }
    }
}
