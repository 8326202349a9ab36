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
 * One VM's part of a workspace's token bucket.
 *
 * <p>The part refills at the VM's share of the rate and holds at most its share of the burst. Tokens
 * can be lent to a peer: they leave this part first, and the room that they took stays reserved
 * until the borrower can no longer spend them. So the parts of all VMs, with the tokens under way
 * between them, never hold more than the burst. A new part starts empty, because its predecessor on
 * the same VM may have spent all.
 *
 * <p>Safe for use by many threads.
 */
public final class WorkspaceBucket {

    /** How long a borrower may hold lent tokens, from the time at which it asked. */
    public static final Duration LOAN = Duration.ofSeconds(2);

    /** How much longer the lender keeps the room, so that differing clock rates do no harm. */
    static final Duration LOAN_MARGIN = Duration.ofMillis(200);

    private static final double NANOS_PER_SECOND = 1e9;

    private final MonotonicClock clock;
    private final Deque<Loan> lent = new ArrayDeque<>();
    private final List<Loan> borrowed = new ArrayList<>();
    private Workspace workspace;
    private double share;
    private double tokens;
    private long refilledNanos;

    /**
     * Creates an empty part with no share.
     *
     * @param clock the clock to read
     * @param workspace the workspace
     */
    public WorkspaceBucket(MonotonicClock clock, Workspace workspace) {
        this.clock = clock;
        this.workspace = workspace;
        this.refilledNanos = clock.nanos();
    }

    /**
     * Changes this VM's share.
     *
     * @param newShare from 0 to 1
     */
    public synchronized void share(double newShare) {
        refill();
        share = newShare;
        tokens = Math.min(tokens, capacity());
    }

    /**
     * Takes over a changed rate or burst.
     *
     * @param changed the workspace
     */
    public synchronized void workspace(Workspace changed) {
        refill();
        workspace = changed;
        tokens = Math.min(tokens, capacity());
    }

    /**
     * Takes tokens, borrowed ones first.
     *
     * @param amount how many
     * @return false where there are too few, and then none are taken
     */
    public synchronized boolean tryTake(long amount) {
        refill();
        if (available() < amount) {
            return false;
        }
        double missing = amount;
        Iterator<Loan> loans = borrowed.iterator();
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
     * Gives back tokens that were taken and not used.
     *
     * @param amount how many, never more than were taken
     */
    public synchronized void refund(long amount) {
        refill();
        tokens = Math.min(Math.max(tokens, capacity()), tokens + amount);
    }

    /**
     * Lends tokens to a peer.
     *
     * @param wanted how many it asks for
     * @return how many it gets
     */
    public synchronized long lend(long wanted) {
        refill();
        long amount = (long) Math.min(wanted, Math.max(0, Math.floor(tokens)));
        if (amount > 0) {
            tokens -= amount;
            lent.add(new Loan(amount, Deadline.after(clock, LOAN.plus(LOAN_MARGIN))));
        }
        return amount;
    }

    /**
     * Adds tokens that a peer lent.
     *
     * @param amount how many
     * @param until when they can no longer be spent, counted from before the peer was asked
     */
    public synchronized void borrow(long amount, Deadline until) {
        if (amount > 0 && !until.hasPassed(clock)) {
            borrowed.add(new Loan(amount, until));
        }
    }

    /**
     * How many tokens are missing for a request.
     *
     * @param amount what the request needs
     * @return zero where there are enough
     */
    public synchronized long missing(long amount) {
        refill();
        return (long) Math.max(0, Math.ceil(amount - available()));
    }

    /**
     * When this part alone could take a number of tokens.
     *
     * @param amount how many
     * @return the wait from now; an hour where the part's own share never reaches the amount
     */
    public synchronized Duration waitFor(long amount) {
        refill();
        double ownRate = workspace.rate() * share;
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
     * Tokens that could be taken now.
     *
     * @return own and borrowed tokens
     */
    public synchronized double balance() {
        refill();
        return available();
    }

    private double available() {
        double sum = tokens;
        for (Loan loan : borrowed) {
            sum += loan.amount;
        }
        return sum;
    }

    private double capacity() {
        double reserved = 0;
        for (Loan loan : lent) {
            reserved += loan.amount;
        }
        return Math.max(0, workspace.burst() * share - reserved);
    }

    private void refill() {
        long now = clock.nanos();
        double seconds = (now - refilledNanos) / NANOS_PER_SECOND;
        refilledNanos = now;
        while (!lent.isEmpty() && lent.getFirst().until.hasPassed(clock)) {
            lent.removeFirst();
        }
        borrowed.removeIf(loan -> loan.until.hasPassed(clock));
        double capacity = capacity();
        if (tokens < capacity) {
            tokens = Math.min(capacity, tokens + seconds * workspace.rate() * share);
        }
    }

    private static final class Loan {
        private final Deadline until;
        private double amount;

        private Loan(double amount, Deadline until) {
            this.amount = amount;
            this.until = until;
        }
    }
}
