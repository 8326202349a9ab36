package dev.bluebellshunt.lab.soak;

import dev.bluebellshunt.lab.soak.PromiseChecks.Rule;
import dev.bluebellshunt.lab.soak.PromiseChecks.Violation;
import dev.bluebellshunt.platform.standin.TargetRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks the orders to load weights that engines have accepted: one issuer at a time, and nothing goes back. */
final class OrderChecks {

    /** The setting lease-ms of the VMs, the minimum time between the orders of two VMs. */
    static final long HANDOVER_MILLIS = 3_000;

    /** What a link and a busy machine may add to the way of an order. */
    static final long SLACK_MILLIS = 250;

    /** After a delay, what was held arrives, and a process that was suspended catches up. */
    private static final long CATCH_UP_MILLIS = 500;

    private static final String LINK_PREFIX = "to-";

    private OrderChecks() {}

    /**
     * A time in which a process or a link held what was sent before, so that orders arrived later than they were sent.
     *
     * @param name the name of the process or link
     * @param beginMillis when it began
     * @param endMillis when it ended
     */
    record Delay(String name, long beginMillis, long endMillis) {}

    /** Returns what was broken. */
    static List<Violation> check(List<TargetRecord.Entry> entries, List<Delay> delays) {
        List<TargetRecord.Entry> orders = entries.stream()
                .filter(entry -> entry.event() == TargetRecord.Event.ORDERED)
                .filter(order -> delays.stream().noneMatch(delay -> delayed(order, delay)))
                .sorted(Comparator.comparingLong(TargetRecord.Entry::millis))
                .toList();
        List<Violation> violations = new ArrayList<>();
        Map<String, TargetRecord.Entry> lastOfEngine = new HashMap<>();
        TargetRecord.Entry previous = null;
        for (TargetRecord.Entry order : orders) {
            TargetRecord.Entry earlier = lastOfEngine.put(order.target(), order);
            if (earlier != null && (token(order) < token(earlier) || version(order) < version(earlier))) {
                violations.add(new Violation(Rule.FENCE, order.requestId(), order + " came after " + earlier));
            }
            if (previous != null
                    && !previous.workspace().equals(order.workspace())
                    && order.millis() - previous.millis() < HANDOVER_MILLIS - SLACK_MILLIS) {
                violations.add(new Violation(Rule.ISSUER, order.requestId(), order + " came after " + previous));
            }
            previous = order;
        }
        return violations;
    }

    private static long token(TargetRecord.Entry order) {
        return Long.parseLong(order.run());
    }

    private static long version(TargetRecord.Entry order) {
        return Long.parseLong(order.path());
    }

    /** Returns whether the holder, the engine or the link between them held the order for some time. */
    private static boolean delayed(TargetRecord.Entry order, Delay delay) {
        String name =
                delay.name().startsWith(LINK_PREFIX) ? delay.name().substring(LINK_PREFIX.length()) : delay.name();
        return delay.beginMillis() <= order.millis()
                && order.millis() <= delay.endMillis() + CATCH_UP_MILLIS
                && (name.equals(order.workspace()) || order.target().startsWith("i-" + name + "-"));
    }
}
