package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * The open requests of this VM at a target, and the recent health of the target as observed by this VM.
 *
 * <p>This class is thread-safe.
 */
public final class TargetLoad {

    /** Time without response bytes after which a target with open requests is stalled; several slow first tokens. */
    static final Duration STALL_TIMEOUT = Duration.ofMillis(800);

    /** Backoff after the first failure; doubled by each consecutive failure. */
    static final Duration INITIAL_BACKOFF = Duration.ofMillis(250);

    /** Maximum backoff; about the time in which a crashed target restarts. */
    static final Duration MAX_BACKOFF = Duration.ofSeconds(4);

    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    private final MonotonicClock clock;
    private final ProcessEvidence evidence;
    private final ObservedSpeed speed;
    private final ObservedServiceTime serviceTime = new ObservedServiceTime();
    private final Map<String, Long> weightsVersions = new HashMap<>();
    private int openRequests;
    private long openTokens;
    private long waitingTokens;
    private long lateTokens;
    private long urgentTokens;
    private long middleTokens;
    private int consecutiveFailures;
    private long lastProgressNanos;
    private Deadline backoffDeadline;
    private Deadline overloadDeadline;
    private Deadline refusalEnd;
    private volatile boolean leaving;

    /**
     * Creates the load of an idle target.
     *
     * @param clock the clock for backoff and stall detection
     */
    public TargetLoad(MonotonicClock clock) {
        this.clock = clock;
        this.evidence = new ProcessEvidence(clock);
        this.speed = new ObservedSpeed(clock);
        this.backoffDeadline = new Deadline(clock.nanos());
        this.overloadDeadline = backoffDeadline;
        this.refusalEnd = backoffDeadline;
    }

    /**
     * Records that a request is sent to the target.
     *
     * @param request the request
     */
    public synchronized void requestSent(SentRequest request) {
        if (openRequests == 0) {
            lastProgressNanos = clock.nanos();
        }
        openRequests++;
        openTokens += request.tokens();
        addWaitingTokens(request, request.uncachedTokens());
    }

    /**
     * Records the first response byte of a request.
     *
     * @param request the request as it was sent
     */
    public synchronized void firstByteReceived(SentRequest request) {
        addWaitingTokens(request, -request.uncachedTokens());
        lastProgressNanos = clock.nanos();
    }

    /**
     * Records the end of a request.
     *
     * @param request the request as it was sent
     * @param firstByteReceived whether the first response byte had been received
     */
    public synchronized void requestEnded(SentRequest request, boolean firstByteReceived) {
        openRequests--;
        openTokens -= request.tokens();
        if (!firstByteReceived) {
            addWaitingTokens(request, -request.uncachedTokens());
        }
    }

    private void addWaitingTokens(SentRequest request, long tokens) {
        if (request.late()) {
            lateTokens += tokens;
            return;
        }
        waitingTokens += tokens;
        switch (request.priority()) {
            case 0 -> urgentTokens += tokens;
            case 1 -> middleTokens += tokens;
            default -> {}
        }
    }

    /** Records that response bytes have been received. */
    public synchronized void bytesReceived() {
        lastProgressNanos = clock.nanos();
    }

    /** Records a successful response, which ends a series of failures. */
    public synchronized void requestSucceeded() {
        consecutiveFailures = 0;
        lastProgressNanos = clock.nanos();
    }

    /** Records a failure of the target and excludes it from use for a backoff period. */
    public synchronized void requestFailed() {
        Duration backoff = INITIAL_BACKOFF.multipliedBy(1L << Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures));
        consecutiveFailures++;
        backoffDeadline = Deadline.after(clock, backoff.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : backoff);
    }

    /** Records that a request was abandoned before its first byte; a failure only if the target is stalled. */
    public synchronized void requestAbandoned() {
        if (isStalled()) {
            requestFailed();
        }
    }

    /**
     * Returns whether the target has open requests and has sent nothing for a while.
     *
     * @return true after {@link #STALL_TIMEOUT} without response bytes
     */
    public synchronized boolean isStalled() {
        return openRequests > 0 && clock.nanos() - lastProgressNanos >= STALL_TIMEOUT.toNanos();
    }

    /**
     * Records that the target is at capacity and rejects requests.
     *
     * @param duration how long to send it no requests
     */
    public synchronized void markOverloaded(Duration duration) {
        overloadDeadline = Deadline.after(clock, duration);
    }

    /**
     * Records that the target wants no requests from this VM for some time.
     *
     * @param end the end of that time
     * @return whether the time ends later than was known
     */
    public synchronized boolean markRefusing(Deadline end) {
        boolean later = end.atNanos() - refusalEnd.atNanos() > 0;
        if (later) {
            refusalEnd = end;
        }
        return later;
    }

    /**
     * Returns the time until which the target wants no requests from this VM.
     *
     * @return a deadline that has passed if requests may be sent
     */
    public synchronized Deadline refusalEnd() {
        return refusalEnd;
    }

    /**
     * Returns whether the target wants no requests from this VM.
     *
     * @return true until {@link #refusalEnd}
     */
    public synchronized boolean isRefusing() {
        return !refusalEnd.hasPassed(clock);
    }

    /**
     * Records that the target has said that it is leaving.
     *
     * @return whether that was not known
     */
    public synchronized boolean markLeaving() {
        boolean known = leaving;
        leaving = true;
        return !known;
    }

    /**
     * Returns whether the target has told this VM that it is leaving.
     *
     * @return true once it has said so
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Returns whether requests should be sent to the target.
     *
     * @return false while the target is in backoff, at capacity or stalled
     */
    public synchronized boolean isUsable() {
        if (!backoffDeadline.hasPassed(clock) || !overloadDeadline.hasPassed(clock)) {
            return false;
        }
        return !isStalled();
    }

    /**
     * Returns what this VM knows about the process of the target.
     *
     * @return the evidence
     */
    public ProcessEvidence evidence() {
        return evidence;
    }

    /**
     * Returns the observed speed of the target.
     *
     * @return the speed
     */
    public ObservedSpeed speed() {
        return speed;
    }

    /**
     * Returns the observed service time of the target, an application.
     *
     * @return the service time
     */
    public ObservedServiceTime serviceTime() {
        return serviceTime;
    }

    /**
     * Records the version of a model's weights that the target has.
     *
     * @param model the model
     * @param version the version of the weights
     */
    public synchronized void recordWeights(String model, long version) {
        weightsVersions.merge(model, version, Math::max);
    }

    /**
     * Returns the newest recorded version of a model's weights.
     *
     * @param model the model
     * @return the version, or zero if none is known
     */
    public synchronized long weightsVersion(String model) {
        return weightsVersions.getOrDefault(model, 0L);
    }

    /**
     * Returns the in-flight load of this VM at the target.
     *
     * @return the sum over the open requests
     */
    public synchronized InFlightLoad inFlightLoad() {
        return new InFlightLoad(openRequests, openTokens, waitingTokens, lateTokens, urgentTokens, middleTokens);
    }
}
