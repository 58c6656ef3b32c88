/**
 * The scheduler: decides which tasks start where, what is preempted, which machines are rented and
 * returned, and which capacity is reserved.
 *
 * <p>The package owns the placement policy. It computes a {@link
 * io.embernotch.scheduling.SchedulingPlan} from a {@link io.embernotch.scheduling.SchedulingInput}
 * and must not carry it out: it makes no request to the store, the cloud or an agent, starts no
 * timer, reads no clock and writes no log. The only fields it sets outside its own state are those
 * of {@link io.embernotch.model.Job} that are marked as set by the planner. Equal inputs give equal
 * plans.
 *
 * <p>Amounts are CPUs, GPUs and gigabytes of memory. Durations whose names end in {@code S} are
 * seconds, in {@code Ms} milliseconds; {@code now} is monotonic time in seconds, {@code wallMs}
 * wall-clock time. All classes run on the event loop of the leader.
 */
package io.embernotch.scheduling;
