package dev.bluebellshunt.core.limit;

import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * One VM's share of a workspace's token bucket.
 *
 * <p>The bucket refills at the VM's share of the rate and holds at most its share of the burst. When
 * tokens are lent to a peer, they are removed from this bucket first, and the capacity that they
 * occupied stays reserved until the borrower can no longer spend them. The buckets of all VMs,
 * together with the tokens in transit between them, therefore never hold more than the burst. A new
 * bucket starts empty, because the previous process on the same VM may have spent all tokens.
 *
 * <p>This class is thread-safe.
 */
public final class WorkspaceBucket {

    /** How long a borrower may spend lent tokens, measured from when it sent its request. */
    public static final Duration LOAN_DURATION = Duration.ofSeconds(2);

    /** How much longer the lender reserves the capacity, to allow for clocks that run at different rates. */
    static final Duration LOAN_MARGIN = Duration.ofMillis(200);

    private static final double NANOS_PER_SECOND = 1e9;

    private final MonotonicClock clock;
    private final Deque<Loan> outstandingLoans = new ArrayDeque<>();
    private final List<Loan> borrowedLoans = new ArrayList<>();
    private Workspace currentWorkspace;
    private double vmShare;
    private double tokens;
    private long refilledNanos;

    /**
     * Creates an empty bucket with a share of zero.
     *
     * @param clock the monotonic clock
     * @param workspace the workspace
     */
    public WorkspaceBucket(MonotonicClock clock, Workspace workspace) {
        this.clock = clock;
        this.currentWorkspace = workspace;
        this.refilledNanos = clock.nanos();
    }

    /**
     * Changes this VM's share.
     *
     * @param newShare the share, from 0 to 1
     */
    public synchronized void setShare(double newShare) {
        refill();
        vmShare = newShare;
        tokens = Math.min(tokens, capacity());
    }

    /**
     * Applies a new rate and burst.
     *
     * @param newWorkspace the workspace with its new limits
     */
    public synchronized void setWorkspace(Workspace newWorkspace) {
        refill();
        currentWorkspace = newWorkspace;
        tokens = Math.min(tokens, capacity());
    }

    /**
     * Acquires tokens if enough are available, using borrowed tokens first.
     *
     * @param amount the number of tokens
     * @return false if too few are available, in which case none are taken
     */
    public synchronized boolean tryAcquire(long amount) {
        refill();
        if (available() < amount) {
            return false;
        }
        double missing = amount;
        Iterator<Loan> loans = borrowedLoans.iterator();
        while (missing > 0 && loans.hasNext()) {
            Loan loan = loans.next();
            double used = Math.min(missing, loan.amount);
            loan.amount -= used;
            missing -= used;
            if (loan.amount <= 0) {
                loans.remove();
            }
        }
        tokens -= missing;
        return true;
    }

    /**
     * Returns tokens that were acquired but not used.
     *
     * @param amount the number of tokens, at most the number acquired
     */
    public synchronized void refund(long amount) {
        refill();
        tokens = Math.min(Math.max(tokens, capacity()), tokens + amount);
    }

    /**
     * Lends tokens to a peer.
     *
     * @param wanted the number of tokens requested
     * @return the number of tokens lent
     */
    public synchronized long lend(long wanted) {
        refill();
        long amount = (long) Math.min(wanted, Math.max(0, Math.floor(tokens)));
        if (amount > 0) {
            tokens -= amount;
            outstandingLoans.add(new Loan(amount, Deadline.after(clock, LOAN_DURATION.plus(LOAN_MARGIN))));
        }
        return amount;
    }

    /**
     * Adds tokens borrowed from a peer.
     *
     * @param amount the number of tokens
     * @param expiry when the tokens expire, computed before the request was sent to the peer
     */
    public synchronized void addBorrowed(long amount, Deadline expiry) {
        if (amount > 0 && !expiry.hasPassed(clock)) {
            borrowedLoans.add(new Loan(amount, expiry));
        }
    }

    /**
     * Returns how many more tokens a request needs than are available.
     *
     * @param amount the number of tokens that the request needs
     * @return the shortfall, or zero if enough are available
     */
    public synchronized long shortfall(long amount) {
        refill();
        return (long) Math.max(0, Math.ceil(amount - available()));
    }

    /**
     * Estimates how long this bucket takes to refill to a number of tokens without borrowing.
     *
     * @param amount the number of tokens
     * @return the time from now, at most one hour; one hour if the bucket does not refill
     */
    public synchronized Duration timeUntilAvailable(long amount) {
        refill();
        double ownRate = currentWorkspace.rate() * vmShare;
        double missing = amount - available();
        if (missing <= 0) {
            return Duration.ZERO;
        }
        if (ownRate <= 0) {
            return Duration.ofHours(1);
        }
        return Duration.ofNanos((long) Math.min(Duration.ofHours(1).toNanos(), missing / ownRate * NANOS_PER_SECOND));
    }

    /**
     * Returns the number of tokens available now.
     *
     * @return the bucket's own tokens plus borrowed tokens
     */
    public synchronized double availableTokens() {
        refill();
        return available();
    }

    private double available() {
        double sum = tokens;
        for (Loan loan : borrowedLoans) {
            sum += loan.amount;
        }
        return sum;
    }

    private double capacity() {
        double reserved = 0;
        for (Loan loan : outstandingLoans) {
            reserved += loan.amount;
        }
        return Math.max(0, currentWorkspace.burst() * vmShare - reserved);
    }

    private void refill() {
        long now = clock.nanos();
        double seconds = (now - refilledNanos) / NANOS_PER_SECOND;
        refilledNanos = now;
        while (!outstandingLoans.isEmpty() && outstandingLoans.getFirst().expiry.hasPassed(clock)) {
            outstandingLoans.removeFirst();
        }
        borrowedLoans.removeIf(loan -> loan.expiry.hasPassed(clock));
        double capacity = capacity();
        if (tokens < capacity) {
            tokens = Math.min(capacity, tokens + seconds * currentWorkspace.rate() * vmShare);
        }
    }

    private static final class Loan {
        private final Deadline expiry;
        private double amount;

        private Loan(double amount, Deadline expiry) {
            this.amount = amount;
            this.expiry = expiry;
        }
    }
}
