/**
 * A follower's handling of agents' heartbeats, and requests between controllers. A follower
 * forwards heartbeats to the leader, and renews leases under a delegation while it is partitioned
 * from the leader.
 *
 * <p>The package owns the follower's side only, and is confined to its controller's event loop. It
 * must not send commands to agents, or renew a lease except under a delegation or with the leader's
 * own response.
 */
package io.embernotch.forwarding;
