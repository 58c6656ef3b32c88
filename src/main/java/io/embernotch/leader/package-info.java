/**
 * The leader, which manages the cluster for one term: from the moment its controller acquires
 * leadership until it loses it.
 *
 * <p>{@link io.embernotch.leader.Leader} is an actor that owns the cluster state of its term. The
 * other classes process its messages on the core loop, the event loop of the controller. The
 * packages for jobs, agents, the fleet and scheduling do the actual work, and this package passes
 * the events of each to the others. It must not know the other controllers or the election except
 * through {@link io.embernotch.leader.LeaderContext}. A leader must not outlive its term: once
 * stopped, it changes nothing.
 */
package io.embernotch.leader;
