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
 * @param now seconds of the monotonic clock
 * @param wallMs the time of day in milliseconds
 * @param jobs all jobs of the cluster that may be planned
 * @param withUnknownEnd jobs that may have ended, so that none of them is planned
 * @param machines all machines of the fleet
 * @param types machine types by name
 * @param pools what the cloud can be expected to have
 * @param expected machines that requests in flight may bring
 * @param headroom capacity to be kept free
 * @param reservations what is reserved, and for what
 * @param risk how often machines and zones fail
 */
public record SchedulingInput(
    double now,
    long wallMs,
    Collection<Job> jobs,
    Collection<Job> withUnknownEnd,
    Collection<Machine> machines,
    Map<String, MachineType> types,
    FleetView.Pools pools,
    List<FleetView.Expected> expected,
    List<FleetView.Headroom> headroom,
    ReservationView reservations,
    FailureRisk risk) {}
