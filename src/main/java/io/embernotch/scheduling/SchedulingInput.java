package io.embernotch.scheduling;

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
public record SchedulingInput(
    double now,
    long wallMs,
    Collection<Job> jobs,
    Collection<Machine> machines,
    Map<String, MachineType> types,
    FleetView.Pools pools,
    List<FleetView.Expected> expected,
    List<FleetView.Headroom> headroom,
    ReservationView reservations,
    FailureRisk risk) {}
