package io.embernotch.model;

/** One task in a worker's heartbeat; {@code cause} is null until the task has exited. */
public record TaskStatus(
    String ref, int task, long attempt, TaskState state, ExitCause cause, boolean saved) {}
