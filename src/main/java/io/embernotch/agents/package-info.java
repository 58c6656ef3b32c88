/**
 * The leader's side of the worker protocol: heartbeats of agents, commands to them, and their
 * leases. An agent is the process that runs tasks on a machine; the protocol and the settings call
 * it a worker.
 *
 * <p>The package owns what the leader concludes from heartbeats, command responses and status
 * probes, the commands that are in flight, and the time by which no task on a machine can be
 * running any more. All of it is confined to the leader's event loop and is discarded at the end of
 * a term.
 *
 * <p>It must not decide which task runs on which machine, scale out or in, or change jobs. It
 * reports to {@link io.embernotch.agents.AgentReconciler.Listener} that an attempt runs, has exited
 * or has provably ended. No start command may be sent before its attempt is committed, while the
 * leader's lease is not proven, or otherwise than with the response to a heartbeat.
 */
package io.embernotch.agents;
