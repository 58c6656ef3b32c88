/**
 * The leader: the one that decides for the cluster, for one term. It exists from the moment its
 * node acquires leadership until it loses it.
 *
 * <p>{@link io.embernotch.leader.Leader} is an actor that owns the cluster state of its term; the
 * other classes run on its messages, on the core loop. Messages are handled by the packages for
 * jobs, agents, the fleet and scheduling; the events of one of these are passed to the others here.
 * The package must not know who else is a controller or how elections go, except through {@link
 * io.embernotch.leader.LeaderContext}, and must not outlive its term: once stopped, it changes
 * nothing any more.
 */
package io.embernotch.leader;
