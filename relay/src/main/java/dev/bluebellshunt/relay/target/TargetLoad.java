package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * What this VM has under way at a target, and how the target has answered it lately.
 *
 * <p>Safe for use by many threads.
 */
public final class TargetLoad {

    /** A target that stays silent this long while it owes answers is taken for stalled; a few times a slow first token. */
    static final Duration SILENCE = Duration.ofMillis(800);

    /** The first pause after a failure; each further failure in a row doubles it. */
    static final Duration FIRST_PENALTY = Duration.ofMillis(250);

    /** The longest pause; about the time in which a crashed target is back. */
    static final Duration MAX_PENALTY = Duration.ofSeconds(4);

    private static final int MAX_DOUBLINGS = 4;

    private final MonotonicClock clock;
    private final Map<String, Long> weights = new HashMap<>();
    private int open;
    private long openTokens;
    private long waitingTokens;
    private long lateTokens;
    private int failuresInRow;
    private long owesSinceNanos;
    private Deadline avoidUntil;
    private Deadline fullUntil;

    /**
     * Creates the record of an idle target.
     *
     * @param clock the clock to read
     */
    public TargetLoad(MonotonicClock clock) {
        this.clock = clock;
        this.avoidUntil = new Deadline(clock.nanos());
        this.fullUntil = avoidUntil;
    }

    /**
     * Counts a request that is sent.
     *
     * @param tokens its size
     * @param late whether it goes behind all others
     */
    public synchronized void opened(long tokens, boolean late) {
        if (open == 0) {
            owesSinceNanos = clock.nanos();
        }
        open++;
        openTokens += tokens;
        wait(tokens, late);
    }

    /**
     * Counts a request that has its first byte.
     *
     * @param tokens its size, as it was opened with
     * @param late whether it went behind all others
     */
    public synchronized void begun(long tokens, boolean late) {
        wait(-tokens, late);
        owesSinceNanos = clock.nanos();
    }

    /**
     * Counts a request that has ended.
     *
     * @param tokens its size, as it was opened with
     * @param late whether it went behind all others
     * @param begun whether it had its first byte
     */
    public synchronized void closed(long tokens, boolean late, boolean begun) {
        open--;
        openTokens -= tokens;
        if (!begun) {
            wait(-tokens, late);
        }
    }

    private void wait(long tokens, boolean late) {
        if (late) {
            lateTokens += tokens;
        } else {
            waitingTokens += tokens;
        }
    }

    /** Notes that bytes of an answer have come. */
    public synchronized void heard() {
        owesSinceNanos = clock.nanos();
    }

    /** Notes a good answer. */
    public synchronized void succeeded() {
        failuresInRow = 0;
        owesSinceNanos = clock.nanos();
    }

    /** Notes a failure that speaks against the target; it is avoided for a while. */
    public synchronized void failed() {
        Duration pause = FIRST_PENALTY.multipliedBy(1L << Math.min(MAX_DOUBLINGS, failuresInRow));
        failuresInRow++;
        avoidUntil = Deadline.after(clock, pause.compareTo(MAX_PENALTY) > 0 ? MAX_PENALTY : pause);
    }

    /** Notes that a request was given up before its first byte; it speaks against a target that is silent. */
    public synchronized void gaveUp() {
        if (clock.nanos() - owesSinceNanos >= SILENCE.toNanos()) {
            failed();
        }
    }

    /**
     * Notes that the target takes no requests for now.
     *
     * @param pause how long to send it none
     */
    public synchronized void full(Duration pause) {
        fullUntil = Deadline.after(clock, pause);
    }

    /**
     * Whether the target is worth a request.
     *
     * @return false while it is avoided, full, or silent although it owes answers
     */
    public synchronized boolean isUsable() {
        if (!avoidUntil.hasPassed(clock) || !fullUntil.hasPassed(clock)) {
            return false;
        }
        return open == 0 || clock.nanos() - owesSinceNanos < SILENCE.toNanos();
    }

    /**
     * Notes under which version of a model's weights the target answered.
     *
     * @param model the model
     * @param version the version
     */
    public synchronized void noteWeights(String model, long version) {
        weights.merge(model, version, Math::max);
    }

    /**
     * The newest version of a model's weights under which the target has answered.
     *
     * @param model the model
     * @return the version, zero where none is known
     */
    public synchronized long weights(String model) {
        return weights.getOrDefault(model, 0L);
    }

    /**
     * What this VM has under way at the target.
     *
     * @return the sum over its open requests
     */
    public synchronized TargetUse use() {
        return new TargetUse(open, openTokens, waitingTokens, lateTokens);
    }
}
