/**
 * Job handling of a leader: it loads jobs at a failover, answers the requests of users, maintains
 * the dependency graph, and processes ends of attempts, cancellations and completions.
 *
 * <p>Every object of the package belongs to one leader and runs on its event loop without blocking.
 * The package changes {@link io.embernotch.state.ClusterState} and has {@link
 * io.embernotch.persistence.StateWriter} write the changes. It must not write to the store itself,
 * call agents or the cloud other than through the objects passed to it, or place tasks on machines.
 */
package io.embernotch.jobs;
