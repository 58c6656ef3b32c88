/**
 * The leader's view of the cluster in memory, {@link io.embernotch.state.ClusterState}: jobs,
 * machines and the open attempts that connect them; and values that are derived from it alone:
 * failure attribution, the demand forecast, wait times, and the summaries for operators.
 *
 * <p>The state belongs to one leader and is read and changed on its event loop only. This package
 * must not talk to the store, agents or peers, start timers, or decide where tasks are placed.
 */
package io.embernotch.state;
