package io.embernotch.straggler;

/**
 * A proposal: stop an attempt, and start its task again on another machine.
 *
 * @param ref id of the job
 * @param task number of the task within its job
 * @param attempt number of the attempt to stop
 * @param target name of the machine to start on
 * @param gain energy that is saved (equation 6), above 0
 */
public record Restart(String ref, int task, long attempt, String target, double gain) {}
