/**
 * What passes between controllers on behalf of agents and users: heartbeats that a follower
 * forwards to the leader, requests whose answers are pending, and the leases that a follower renews
 * under a delegation while it is partitioned from the leader.
 *
 * <p>The package owns the follower's side only, and is confined to its controller's event loop. It
 * must not give commands to agents, nor renew a lease except under a delegation or with the
 * leader's own answer.
 */
package io.embernotch.forwarding;
