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
 * Enforces each workspace's rate and burst.
 *
 * <p>A request acquires tokens from this VM's share of the workspace's bucket. If too few are
 * available, the limiter borrows tokens from peers.
 *
 * <p>This class is thread-safe.
 */
public final class WorkspaceLimiter {

    /** How long to wait before borrowing again after peers could not lend enough tokens. */
    static final Duration BORROW_RETRY_DELAY = Duration.ofMillis(100);

    /** The shortest retry delay reported to callers. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

    private final MonotonicClock clock;
    private final PeerTokenClient tokenClient;
    private final Map<String, WorkspaceBucket> buckets = new ConcurrentHashMap<>();
    private final double[] groupShares = new double[ShareGroup.COUNT];
    private final Map<String, Deadline> borrowRetryTimes = new ConcurrentHashMap<>();

    /**
     * Creates a limiter without workspaces.
     *
     * @param clock the monotonic clock
     * @param tokenClient borrows tokens from peers
     */
    public WorkspaceLimiter(MonotonicClock clock, PeerTokenClient tokenClient) {
        this.clock = clock;
        this.tokenClient = tokenClient;
    }

    /**
     * Applies the workspaces of a configuration revision. This method and {@link #setGroupShare} must be called
     * only by the control thread.
     *
     * @param workspaces the workspaces by name
     */
    public void apply(Map<String, Workspace> workspaces) {
        buckets.keySet().retainAll(workspaces.keySet());
        borrowRetryTimes.keySet().retainAll(workspaces.keySet());
        workspaces.forEach((name, workspace) -> {
            WorkspaceBucket bucket = buckets.computeIfAbsent(name, n -> new WorkspaceBucket(clock, workspace));
            bucket.setWorkspace(workspace);
            bucket.setShare(groupShares[ShareGroup.groupOf(name)]);
        });
    }

    /**
     * Changes this VM's share of a group of workspaces.
     *
     * @param group the group number, see {@link ShareGroup}
     * @param share the share, from 0 to 1
     */
    public void setGroupShare(int group, double share) {
        groupShares[group] = share;
        buckets.forEach((name, bucket) -> {
            if (ShareGroup.groupOf(name) == group) {
                bucket.setShare(share);
            }
        });
    }

    /**
     * Admits a request or rejects it by throwing an exception.
     *
     * @param workspace the workspace that the request belongs to
     * @param tokens an upper bound on the tokens that the request uses
     * @throws ShuntException if the request exceeds the workspace's rate or burst
     */
    public void admit(Workspace workspace, long tokens) {
        if (tokens > workspace.burst()) {
            throw ShuntException.notRun(
                    ErrorCode.RATE_LIMITED,
                    Step.LIMIT,
                    "The request needs up to " + tokens + " tokens, which exceeds the workspace's burst of "
                            + workspace.burst() + ".");
        }
        WorkspaceBucket bucket = bucket(workspace);
        if (bucket.tryAcquire(tokens)) {
            return;
        }
        if (mayBorrow(workspace.name())
                && borrowFromPeers(workspace.name(), bucket, tokens)
                && bucket.tryAcquire(tokens)) {
            return;
        }
        throw ShuntException.notRun(
                ErrorCode.RATE_LIMITED,
                Step.LIMIT,
                "The workspace exceeded its rate limit.",
                retryAfter(workspace, tokens));
    }

    /**
     * Returns tokens that an admitted request did not use.
     *
     * @param workspace the workspace
     * @param unused the number of unused tokens
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
     * @param workspace the workspace's name
     * @param wanted the number of tokens requested
     * @return the number of tokens lent, zero for an unknown workspace
     */
    public long lend(String workspace, long wanted) {
        WorkspaceBucket bucket = buckets.get(workspace);
        return bucket == null ? 0 : bucket.lend(wanted);
    }

    /**
     * Returns the number of tokens available on this VM now.
     *
     * @param workspace the workspace's name
     * @return the VM's own tokens plus borrowed tokens, zero for an unknown workspace
     */
    public double availableTokens(String workspace) {
        WorkspaceBucket bucket = buckets.get(workspace);
        return bucket == null ? 0 : bucket.availableTokens();
    }

    private WorkspaceBucket bucket(Workspace workspace) {
        return buckets.computeIfAbsent(workspace.name(), name -> new WorkspaceBucket(clock, workspace));
    }

    private boolean mayBorrow(String workspace) {
        Deadline retryTime = borrowRetryTimes.get(workspace);
        return retryTime == null || retryTime.hasPassed(clock);
    }

    private boolean borrowFromPeers(String workspace, WorkspaceBucket bucket, long tokens) {
        for (String address : tokenClient.lenders(workspace)) {
            long shortfall = bucket.shortfall(tokens);
            if (shortfall == 0) {
                return true;
            }
            Deadline expiry = Deadline.after(clock, WorkspaceBucket.LOAN_DURATION);
            bucket.addBorrowed(borrowFromPeer(address, workspace, shortfall), expiry);
        }
        if (bucket.shortfall(tokens) == 0) {
            return true;
        }
        borrowRetryTimes.put(workspace, Deadline.after(clock, BORROW_RETRY_DELAY));
        return false;
    }

    private long borrowFromPeer(String address, String workspace, long shortfall) {
        try {
            return tokenClient.borrow(address, workspace, shortfall).join();
        } catch (CompletionException e) {
            return 0;
        }
    }

    private Duration retryAfter(Workspace workspace, long tokens) {
        Duration localWait = bucket(workspace).timeUntilAvailable(tokens);
        Duration fleetWait = Duration.ofSeconds(1 + tokens / workspace.rate());
        Duration shorterWait = localWait.compareTo(fleetWait) < 0 ? localWait : fleetWait;
        return shorterWait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : shorterWait;
    }
}
