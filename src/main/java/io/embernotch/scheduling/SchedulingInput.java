package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * The state of the cluster from which {@link Scheduler} computes a plan.
 *
 * @param now monotonic time in seconds
 * @param wallMs wall-clock time in milliseconds
 * @param jobs all jobs of the cluster that may be planned
 * @param possiblyEndedJobs jobs that may have ended: their open attempts count towards the quota,
 *     but none of their tasks is placed
 * @param machines all machines of the fleet
 * @param types machine types by name
 * @param pools tells which machines the cloud has run out of
 * @param expected machines that rental requests in flight may still provide
 * @param headroom capacity to keep free for jobs that may be submitted
 * @param reservations the reservations, and the capacity that is reserved for each
 * @param risk how often machines and zones fail
 */
public record SchedulingInput(
    double now,
    long wallMs,
    Collection<Job> jobs,
    Collection<Job> possiblyEndedJobs,
    Collection<Machine> machines,
    Map<String, MachineType> types,
    FleetView.Pools pools,
    List<FleetView.Expected> expected,
    List<FleetView.Headroom> headroom,
    ReservationView reservations,
    FailureRisk risk) {}
