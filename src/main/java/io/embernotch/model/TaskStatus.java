package io.embernotch.model;

/**
 * One task in a worker's heartbeat.
 *
 * @param ref id of the job
 * @param task number of the task within its job
 * @param attempt number of the attempt
 * @param state its state
 * @param cause why it exited; null until it has
 * @param saved whether its progress was saved when it was stopped
 */
public record TaskStatus(
    String ref, int task, long attempt, TaskState state, ExitCause cause, boolean saved) {}
