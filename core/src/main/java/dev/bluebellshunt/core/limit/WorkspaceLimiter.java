package dev.bluebellshunt.core.limit;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.model.Workspace;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Admits requests within each workspace's rate and burst.
 *
 * <p>A request takes from this VM's part of the bucket; where that is too little, it borrows from
 * peers. Safe for use by many threads.
 */
public final class WorkspaceLimiter {

    /** How long this VM does not ask peers again after they had too little. */
    static final Duration ASK_AGAIN = Duration.ofMillis(100);

    /** The least advice on when to come back. */
    private static final Duration LEAST_RETRY_AFTER = Duration.ofSeconds(1);

    private final MonotonicClock clock;
    private final TokenLender lender;
    private final Map<String, WorkspaceBucket> buckets = new ConcurrentHashMap<>();
    private final double[] groupShares = new double[ShareGroup.COUNT];
    private final Map<String, Deadline> askAgain = new ConcurrentHashMap<>();

    /**
     * Creates a limiter without workspaces.
     *
     * @param clock the clock to read
     * @param lender asks peers for tokens
     */
    public WorkspaceLimiter(MonotonicClock clock, TokenLender lender) {
        this.clock = clock;
        this.lender = lender;
    }

    /**
     * Takes over the workspaces of a revision. Called, like {@link #share}, by the control thread alone.
     *
     * @param workspaces workspaces by name
     */
    public void apply(Map<String, Workspace> workspaces) {
        buckets.keySet().retainAll(workspaces.keySet());
        askAgain.keySet().retainAll(workspaces.keySet());
        workspaces.forEach((name, workspace) -> {
            WorkspaceBucket bucket = buckets.computeIfAbsent(name, n -> new WorkspaceBucket(clock, workspace));
            bucket.workspace(workspace);
            bucket.share(groupShares[ShareGroup.of(name)]);
        });
    }

    /**
     * Changes this VM's share of a group of workspaces.
     *
     * @param group the group, see {@link ShareGroup}
     * @param share from 0 to 1
     */
    public void share(int group, double share) {
        groupShares[group] = share;
        buckets.forEach((name, bucket) -> {
            if (ShareGroup.of(name) == group) {
                bucket.share(share);
            }
        });
    }

    /**
     * Admits a request.
     *
     * @param workspace the workspace that it runs for
     * @param tokens an upper estimate of the tokens that it uses
     * @throws ShuntException if the workspace has used up its rate and burst
     */
    public void admit(Workspace workspace, long tokens) {
        if (tokens > workspace.burst()) {
            throw ShuntException.notRun(
                    ErrorCode.RATE_LIMITED,
                    Step.LIMIT,
                    "The request may use " + tokens + " tokens, more than the workspace's burst of " + workspace.burst()
                            + ".");
        }
        WorkspaceBucket bucket = bucket(workspace);
        if (bucket.tryTake(tokens)) {
            return;
        }
        if (mayAsk(workspace.name()) && borrow(workspace.name(), bucket, tokens) && bucket.tryTake(tokens)) {
            return;
        }
        throw ShuntException.notRun(
                ErrorCode.RATE_LIMITED,
                Step.LIMIT,
                "The workspace has used up its rate and burst.",
                retryAfter(workspace, tokens));
    }

    /**
     * Gives back what a request did not use.
     *
     * @param workspace the workspace
     * @param unused tokens taken and not used
     */
    public void refund(Workspace workspace, long unused) {
        WorkspaceBucket bucket = buckets.get(workspace.name());
        if (bucket != null && unused > 0) {
            bucket.refund(unused);
        }
    }

    /**
     * Lends tokens to a peer.
     *
     * @param workspace the workspace
     * @param wanted how many it asks for
     * @return how many it gets
     */
    public long lend(String workspace, long wanted) {
        WorkspaceBucket bucket = buckets.get(workspace);
        return bucket == null ? 0 : bucket.lend(wanted);
    }

    /**
     * Tokens that this VM could take now.
     *
     * @param workspace the workspace
     * @return own and borrowed tokens, zero for an unknown workspace
     */
    public double balance(String workspace) {
        WorkspaceBucket bucket = buckets.get(workspace);
        return bucket == null ? 0 : bucket.balance();
    }

    private WorkspaceBucket bucket(Workspace workspace) {
        return buckets.computeIfAbsent(workspace.name(), name -> new WorkspaceBucket(clock, workspace));
    }

    private boolean mayAsk(String workspace) {
        Deadline until = askAgain.get(workspace);
        return until == null || until.hasPassed(clock);
    }

    private boolean borrow(String workspace, WorkspaceBucket bucket, long tokens) {
        for (String address : lender.lenders(workspace)) {
            long missing = bucket.missing(tokens);
            if (missing == 0) {
                return true;
            }
            Deadline until = Deadline.after(clock, WorkspaceBucket.LOAN);
            bucket.borrow(ask(address, workspace, missing), until);
        }
        if (bucket.missing(tokens) == 0) {
            return true;
        }
        askAgain.put(workspace, Deadline.after(clock, ASK_AGAIN));
        return false;
    }

    private long ask(String address, String workspace, long missing) {
        try {
            return lender.borrow(address, workspace, missing).join();
        } catch (CompletionException e) {
            return 0;
        }
    }

    private Duration retryAfter(Workspace workspace, long tokens) {
        Duration wait = bucket(workspace).waitFor(tokens);
        Duration fleet = Duration.ofSeconds(1 + tokens / workspace.rate());
        Duration least = wait.compareTo(fleet) < 0 ? wait : fleet;
        return least.compareTo(LEAST_RETRY_AFTER) < 0 ? LEAST_RETRY_AFTER : least;
    }
}
