package io.embernotch.fleet;

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
 * Machines that do not report: whether they are partitioned, hang or are dead, and when they are
 * given up.
 */
final class FailureDetector {
  private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);

  /** Reports come a quarter late at most: after so many periods a machine is asked itself. */
  private static final double PROBE_HEARTBEATS = 1.5;

  /** Report periods of silence after which a machine that did not answer a probe is given up. */
  private static final double SILENT_HEARTBEATS = 2.2;

  /**
   * So large a share of the machines must be silent for us to be the ones who are partitioned. A
   * zone can hold more than half of them: at half, leaders that heard the rest well gave leadership
   * to each other, and none of them started anything.
   */
  private static final double DEAF_SHARE = 0.8;

  /** Share of a worker's lease for which a silent machine with live services is waited for. */
  private static final double PATIENCE = 0.9;

  private final ControllerContext context;
  private final ClusterState state;
  private final AgentReconciler agents;
  private final FleetManager.Listener listener;
  private final Consumer<Machine> scaleIn;
  private final FailureRates rates;
  private final double startedAt;
  private Set<String> partitionedZones = Set.of();

  /** When zones were last back from a cut. */
  private final Map<String, Double> backAt = new HashMap<>();

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

  boolean isPartitioned(String zone) {
    return partitionedZones.contains(zone);
  }

  /**
   * When the machine last gave a sign of life. One that ran under an earlier leader is given a
   * heartbeat's time-out longer to find us; before, such a machine was taken for a booting one, and
   * its services stayed down until its lease and the old leader's hold were over. One that has only
   * just come up is given the same time: it was once returned in the second before its first
   * heartbeat. So is one whose zone is back from a cut: 238 were once returned as the first
   * controller was back.
   */
  private double lastSign(Machine machine) {
    double heartbeat = context.settings().workers().heartbeatIntervalS();
    double reconnectedAt = backAt.getOrDefault(machine.zone, -1e9) + heartbeat;
    return Math.max(
        reconnectedAt,
        machine.up()
            ? machine.lastSignOfLifeAt()
            : Math.max(startedAt, machine.listedUpAt) + heartbeat);
  }

  /**
   * Silent machines are probed, then deleted: the answer to the deletion proves their tasks gone.
   * Two reports that did not come and a probe without an answer are enough; one alone may be ours.
   */
  void watch(double now) {
    double heartbeat = context.settings().workers().heartbeatIntervalS();
    double probeAfterS = PROBE_HEARTBEATS * heartbeat;
    List<Machine> unresponsive = new ArrayList<>();
    int up = 0;
    for (Machine machine : state.machines.values()) {
      if (!mayBeUp(machine)) {
        continue;
      }
      up++;
      if (now - lastSign(machine) > probeAfterS) {
        unresponsive.add(machine);
      }
    }
    if (unresponsive.size() >= 3 && unresponsive.size() > DEAF_SHARE * up) {
      if (now - startedAt > 4 * heartbeat) {
        listener.controllerPartitioned();
      }
      return;
    }
    partitionedZones = partitionedZones(unresponsive);
    for (Machine machine : unresponsive) {
      agents.probe(machine);
      double limit =
          machine.probeFailedAt > lastSign(machine) ? SILENT_HEARTBEATS : SILENT_HEARTBEATS + 1;
      if (now - lastSign(machine) > limit * heartbeat && !worthWaitingFor(machine, now)) {
        LOG.info(
            "machine {} unresponsive for {} s with {} tasks, {}",
            machine.name,
            Math.round(now - lastSign(machine)),
            machine.openAttempts.size(),
            machine.probeConnected ? "takes connections" : "takes no connection");
        rates.machineFailed();
        scaleIn.accept(machine);
      }
    }
  }

  private static boolean mayBeUp(Machine machine) {
    return !machine.deleting
        && (machine.up() || machine.listedUpAt >= 0 || !machine.openAttempts.isEmpty());
  }

  /**
   * Zones that are partitioned: a controller there is silent, and more than half of the machines.
   * It renews their workers for as long as it may, so what runs there is let run, and nothing new
   * is rented.
   */
  private Set<String> partitionedZones(List<Machine> unresponsive) {
    Set<String> live = listener.controllers();
    Set<String> zones = new HashSet<>();
    for (Settings.Member member : context.settings().members()) {
      if (live.contains(member.node()) || zones.contains(member.location())) {
        continue;
      }
      long unresponsiveCount =
          unresponsive.stream().filter(machine -> member.location().equals(machine.zone)).count();
      long machineCount =
          state.machines.values().stream()
              .filter(machine -> member.location().equals(machine.zone) && mayBeUp(machine))
              .count();
      if (unresponsiveCount * 2 > machineCount) {
        zones.add(member.location());
      }
    }
    if (!zones.equals(partitionedZones)) {
      LOG.info("partitioned zones: {}", zones);
      zones.stream().filter(z -> !partitionedZones.contains(z)).forEach(z -> rates.zoneFailed());
      partitionedZones.stream()
          .filter(z -> !zones.contains(z))
          .forEach(z -> backAt.put(z, context.clock().now()));
    }
    return zones;
  }

  /**
   * A live service on a machine that only lost the network runs on until its lease is over, and
   * would have to start anew elsewhere if the machine were returned before. One that takes a
   * connection and does not answer is not partitioned: it hangs, and so does the service. One that
   * nothing has proven alive in this term is not waited for: what was heard of it may be copies of
   * what it said before it ended.
   */
  private boolean worthWaitingFor(Machine machine, double now) {
    if (machine.probeConnected && machine.probeFailedAt > lastSign(machine)) {
      return false;
    }
    if (partitionedZones.contains(machine.zone)) {
      return now - lastSign(machine)
          < context.settings().gracePeriodS() + PATIENCE * context.settings().workers().leaseS();
    }
    return machine.load().pinned
        && machine.confirmedAliveAt >= 0
        && now - machine.leaseRenewedAt < PATIENCE * context.settings().workers().leaseS();
  }
}
