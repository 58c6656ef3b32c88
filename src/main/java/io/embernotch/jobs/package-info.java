/**
 * What a leader does with jobs: it loads them at a failover, answers the requests of their users,
 * keeps the graph of their dependencies, and decides what the end of an attempt, a cancellation or
 * a completed job means.
 *
 * <p>Everything here belongs to one leader and runs on its event loop; nothing blocks. The package
 * changes {@link io.embernotch.state.ClusterState} and has {@link
 * io.embernotch.persistence.StateWriter} write the changes. It must not write to the store itself,
 * call agents or the cloud other than through the classes it is given, or place tasks on machines.
 */
package io.embernotch.jobs;
