package dev.bluebellshunt.relay.release;

import java.time.Duration;

/**
 * The deployment's bounds on what a bad version may receive.
 *
 * @param canaryShare the share of a pool's requests between an order and its deadline, from 0 to 1
 * @param canarySlack the requests in addition to that, over all VMs
 * @param rollbackTime the time after the 50th bad response after which it may receive none
 */
public record ReleaseBounds(double canaryShare, long canarySlack, Duration rollbackTime) {}
