package io.embernotch.plan;

import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * All that a plan is made of.
 *
 * @param now seconds of the steady clock
 * @param wallMs the time of day
 * @param types machine types by name
 * @param expected machines that requests under way may bring
 * @param headroom room to be kept free
 * @param holds reservations
 * @param risk how often machines fail
 */
public record Situation(
    double now,
    long wallMs,
    Collection<Job> jobs,
    Collection<Machine> machines,
    Map<String, MachineType> types,
    Fleet.Pools pools,
    List<Fleet.Expected> expected,
    List<Fleet.Headroom> headroom,
    Holds holds,
    Risk risk) {}
