package io.embernotch.scheduling;

import io.embernotch.model.Machine;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/** A plan while it is being made. */
final class SchedulingPlanBuilder {
  private final List<SchedulingPlan.Start> starts = new ArrayList<>();
  private final List<SchedulingPlan.Stop> stops = new ArrayList<>();
  private final List<SchedulingPlan.ScaleOutRequest> scaleOuts = new ArrayList<>();
  private final List<Machine> scaleIns = new ArrayList<>();
  private Map<String, ReservationAmounts> reserved;

  void start(SchedulingPlan.Start start) {
    starts.add(start);
  }

  void stop(SchedulingPlan.Stop stop) {
    stops.add(stop);
  }

  void scaleOut(SchedulingPlan.ScaleOutRequest request) {
    scaleOuts.add(request);
  }

  void scaleIn(Machine machine) {
    scaleIns.add(machine);
  }

  /** Sets what is to be reserved; without this call it stays as it is. */
  void reserve(Map<String, ReservationAmounts> amounts) {
    reserved = amounts;
  }

  /** The plan; the builder must not be used after this. */
  SchedulingPlan build() {
    return new SchedulingPlan(
        Collections.unmodifiableList(starts),
        Collections.unmodifiableList(stops),
        Collections.unmodifiableList(scaleOuts),
        Collections.unmodifiableList(scaleIns),
        reserved);
  }
}
