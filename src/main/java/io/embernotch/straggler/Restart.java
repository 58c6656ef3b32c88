package io.embernotch.straggler;

/** A proposal: stop this attempt, and start its task again on {@code target}. */
public record Restart(String ref, int task, long attempt, String target, double gain) {}
