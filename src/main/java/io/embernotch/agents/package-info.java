/**
 * The leader's side of the worker protocol: heartbeats of agents, commands to them, and their
 * leases.
 *
 * <p>The package owns what the leader concludes from heartbeats, command responses and status
 * probes, the commands that are in flight, and the bound after which nothing on a machine can be
 * running any more. All of it is confined to the leader's event loop and lives for one term.
 *
 * <p>It must not decide what runs where, nor scale out or in, nor draw conclusions for jobs: that
 * an attempt runs, has exited or is gone is passed to {@link
 * io.embernotch.agents.AgentReconciler.Listener}. No start may be sent before its attempt is
 * committed, or while the leader's lease is not proven.
 */
package io.embernotch.agents;
