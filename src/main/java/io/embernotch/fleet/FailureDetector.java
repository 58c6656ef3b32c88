package io.embernotch.fleet;

import io.embernotch.actor.Clock;
import io.embernotch.agents.AgentReconciler;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Machine;
import io.embernotch.settings.Settings;
import io.embernotch.state.ClusterState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects unresponsive machines, distinguishes partitioned ones from those that hang or are dead,
 * and decides when a machine is given up.
 */
final class FailureDetector {
  private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);

  /**
   * Heartbeat intervals without a heartbeat after which a machine is probed; heartbeats are late by
   * at most a quarter of an interval.
   */
  private static final double PROBE_HEARTBEATS = 1.5;

  /**
   * Heartbeat intervals without a heartbeat after which a machine whose probe failed is given up.
   */
  private static final double GIVE_UP_HEARTBEATS = 2.2;

  /** Further heartbeat intervals for a machine whose probe has no result yet. */
  private static final double UNDECIDED_PROBE_HEARTBEATS = 1;

  /**
   * If more than this share of the machines is unresponsive, this controller is the partitioned
   * one. A zone can hold more than half of the machines: with a share of one half, leaders that
   * receive the heartbeats of the other zones would pass leadership to each other, and none of them
   * would start any task.
   */
  private static final double CONTROLLER_PARTITIONED_SHARE = 0.8;

  /** With fewer unresponsive machines than this, this controller is never taken for partitioned. */
  private static final int CONTROLLER_PARTITIONED_MIN_MACHINES = 3;

  /**
   * Heartbeat intervals after the start of a leader in which it does not take itself for
   * partitioned, so that machines can find it.
   */
  private static final double STARTUP_HEARTBEATS = 4;

  /**
   * Share of a worker's lease, since its last renewal, for which an unresponsive machine with live
   * services is kept.
   */
  private static final double WAIT_LEASE_SHARE = 0.9;

  private final ControllerContext context;
  private final ClusterState state;
  private final AgentReconciler agents;
  private final FleetManager.Listener listener;
  private final Consumer<Machine> scaleIn;
  private final FailureRates rates;
  private final double startedAt;
  private Set<String> partitionedZones = Set.of();

  /** When the partition of a zone last ended, by zone. */
  private final Map<String, Double> partitionEndedAt = new HashMap<>();

  /**
   * @param scaleIn returns a machine that is given up
   */
  FailureDetector(
      ControllerContext context,
      ClusterState state,
      AgentReconciler agents,
      FleetManager.Listener listener,
      Consumer<Machine> scaleIn,
      FailureRates rates) {
    this.context = context;
    this.state = state;
    this.agents = agents;
    this.listener = listener;
    this.scaleIn = scaleIn;
    this.rates = rates;
    this.startedAt = context.clock().now();
  }

  /** Whether a zone was found partitioned at the last {@link #check}. */
  boolean isPartitioned(String zone) {
    return partitionedZones.contains(zone);
  }

  /**
   * Returns when the machine last gave a sign of life, or was last unable to give one. A machine
   * that ran under an earlier leader is given one more heartbeat interval to find this leader: if
   * it were treated as booting, its services would stay down until its lease and the old leader's
   * grace period are over. A machine that has just come up is given the same time, so that it is
   * not returned right before its first heartbeat. So is a machine whose zone's partition has just
   * ended, so that the machines of the zone are not all returned when its controller responds
   * again.
   */
  private double lastSignOfLifeAt(Machine machine) {
    double intervalS = context.settings().workers().heartbeatIntervalS();
    double reconnectedAt = partitionEndedAt.getOrDefault(machine.zone, Clock.NEVER) + intervalS;
    return Math.max(
        reconnectedAt,
        machine.up()
            ? machine.lastSignOfLifeAt()
            : Math.max(startedAt, machine.listedUpAt) + intervalS);
  }

  /**
   * Probes unresponsive machines, then returns them: the response to the deletion proves that their
   * tasks have ended. Two missing heartbeats and a failed probe are sufficient; either alone may be
   * a failure of this controller itself.
   */
  void check(double now) {
    double intervalS = context.settings().workers().heartbeatIntervalS();
    List<Machine> unresponsive = new ArrayList<>();
    int up = 0;
    for (Machine machine : state.machines.values()) {
      if (!mayBeUp(machine)) {
        continue;
      }
      up++;
      if (now - lastSignOfLifeAt(machine) > PROBE_HEARTBEATS * intervalS) {
        unresponsive.add(machine);
      }
    }
    if (unresponsive.size() >= CONTROLLER_PARTITIONED_MIN_MACHINES
        && unresponsive.size() > CONTROLLER_PARTITIONED_SHARE * up) {
      if (now - startedAt > STARTUP_HEARTBEATS * intervalS) {
        listener.controllerPartitioned();
      }
      return;
    }
    updatePartitionedZones(unresponsive);
    for (Machine machine : unresponsive) {
      agents.probe(machine);
      if (now - lastSignOfLifeAt(machine) > giveUpHeartbeats(machine) * intervalS
          && !shouldWaitFor(machine, now)) {
        giveUp(machine, now);
      }
    }
  }

  private double giveUpHeartbeats(Machine machine) {
    return machine.probeFailedAt > lastSignOfLifeAt(machine)
        ? GIVE_UP_HEARTBEATS
        : GIVE_UP_HEARTBEATS + UNDECIDED_PROBE_HEARTBEATS;
  }

  private void giveUp(Machine machine, double now) {
    LOG.info(
        "machine {} unresponsive for {} s with {} tasks, {}",
        machine.name,
        Math.round(now - lastSignOfLifeAt(machine)),
        machine.openAttempts.size(),
        machine.probeConnected ? "accepts connections" : "accepts no connection");
    rates.recordMachineFailure();
    scaleIn.accept(machine);
  }

  private static boolean mayBeUp(Machine machine) {
    return !machine.deleting
        && (machine.up() || machine.listedUpAt >= 0 || !machine.openAttempts.isEmpty());
  }

  /**
   * A zone is partitioned if a controller there is unresponsive, and more than half of its
   * machines. That controller renews the leases of their workers as long as it may, so tasks in the
   * zone keep running, and no machine is rented there.
   */
  private void updatePartitionedZones(List<Machine> unresponsive) {
    Set<String> live = listener.liveControllers();
    Set<String> zones = new HashSet<>();
    for (Settings.Member member : context.settings().members()) {
      String zone = member.location();
      if (!live.contains(member.node())
          && !zones.contains(zone)
          && mostAreUnresponsive(zone, unresponsive)) {
        zones.add(zone);
      }
    }
    if (!zones.equals(partitionedZones)) {
      LOG.info("partitioned zones: {}", zones);
      zones.stream()
          .filter(z -> !partitionedZones.contains(z))
          .forEach(z -> rates.recordZoneFailure());
      partitionedZones.stream()
          .filter(z -> !zones.contains(z))
          .forEach(z -> partitionEndedAt.put(z, context.clock().now()));
    }
    partitionedZones = zones;
  }

  private boolean mostAreUnresponsive(String zone, List<Machine> unresponsive) {
    long unresponsiveCount =
        unresponsive.stream().filter(machine -> zone.equals(machine.zone)).count();
    long machineCount =
        state.machines.values().stream()
            .filter(machine -> zone.equals(machine.zone) && mayBeUp(machine))
            .count();
    return unresponsiveCount * 2 > machineCount;
  }

  /**
   * Returns whether an unresponsive machine is kept for now. A live service on a machine that only
   * lost the network runs on until the worker's lease expires, and would have to restart elsewhere
   * if the machine were returned earlier. A machine that accepts a connection and does not answer
   * is not partitioned: it hangs, and so does the service. A machine that was not confirmed alive
   * in this term is not kept: the heartbeats received from it may be delayed copies of those that
   * it sent before it ended.
   */
  private boolean shouldWaitFor(Machine machine, double now) {
    if (machine.probeConnected && machine.probeFailedAt > lastSignOfLifeAt(machine)) {
      return false;
    }
    if (partitionedZones.contains(machine.zone)) {
      return now - lastSignOfLifeAt(machine)
          < context.settings().gracePeriodS()
              + WAIT_LEASE_SHARE * context.settings().workers().leaseS();
    }
    return machine.load().pinned
        && machine.confirmedAliveAt >= 0
        && now - machine.leaseRenewedAt < WAIT_LEASE_SHARE * context.settings().workers().leaseS();
  }
}
