package io.embernotch.rounds;

import io.embernotch.context.ControllerContext;
import io.embernotch.model.Attempt;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.model.TaskState;
import io.embernotch.state.ClusterState;
import io.embernotch.straggler.MachinePartitions;
import io.embernotch.straggler.MachineView;
import io.embernotch.straggler.MachineView.TaskView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/** Streams starts, finishes and free room of each machine to the owner of its part. */
public final class MachineViewPublisher {
  /**
   * Views that have not changed are sent again after this many rounds, lest a lost one be missed.
   */
  private static final int REPEAT_ROUNDS = 4;

  /**
   * Machines are looked at in turns, all of them in so many calls: a look at all of them took a
   * fifth of the core's time.
   */
  private static final int TURNS = 4;

  /** What was last sent of a machine, and to whom. */
  private static final class Sent {
    final String owner;
    int hash;
    double at = -1e9;

    Sent(String owner) {
      this.owner = owner;
    }
  }

  /** Finished runs that make up a machine's recent performance. */
  public static final int LATELY = 16;

  private final ControllerContext context;
  private final ClusterState state;
  private final BiConsumer<String, MachineView> send;
  private final BiConsumer<String, String> forget;
  private final Map<String, Sent> sentTo = new HashMap<>();
  private Set<String> lastControllers = Set.of();
  private long messages;
  private int turn;

  public MachineViewPublisher(
      ControllerContext context,
      ClusterState state,
      BiConsumer<String, MachineView> send,
      BiConsumer<String, String> forget) {
    this.context = context;
    this.state = state;
    this.send = send;
    this.forget = forget;
  }

  /**
   * Sends what has changed, each machine at most once a round: a finished task changes its job's
   * mean and so the views of all machines that run the job, many times between two rounds.
   */
  public void publish(Set<String> controllers) {
    double now = context.clock().now();
    boolean moved = !controllers.equals(lastControllers);
    lastControllers = controllers;
    turn = (turn + 1) % TURNS;
    for (Machine machine : state.machines.values()) {
      if (!moved && Math.floorMod(machine.name.hashCode(), TURNS) != turn) {
        continue;
      }
      Sent sent = sentCount(machine, controllers, moved);
      if (sent == null || now - sent.at < context.operator().roundS()) {
        continue;
      }
      int hash = fingerprint(machine);
      if (sent.hash != hash || now - sent.at > REPEAT_ROUNDS * context.operator().roundS()) {
        sent.hash = hash;
        sent.at = now;
        messages++;
        send.accept(sent.owner, view(machine, now));
      }
    }
    sentTo
        .entrySet()
        .removeIf(
            e -> {
              boolean gone = !state.machines.containsKey(e.getKey());
              if (gone) {
                forget.accept(e.getValue().owner, e.getKey());
              }
              return gone;
            });
  }

  /** Views sent so far. */
  public long sentCount() {
    return messages;
  }

  private Sent sentCount(Machine machine, Set<String> controllers, boolean moved) {
    Sent sent = sentTo.get(machine.name);
    if (sent == null) {
      if (!machine.up() || machine.type == null) {
        return null;
      }
      sent = new Sent(MachinePartitions.owner(machine.name, controllers));
      sentTo.put(machine.name, sent);
    } else if (moved) {
      String owner = MachinePartitions.owner(machine.name, controllers);
      if (!owner.equals(sent.owner)) {
        forget.accept(sent.owner, machine.name);
        sent = new Sent(owner);
        sentTo.put(machine.name, sent);
      }
    }
    return sent;
  }

  /** Changes with whatever a round would see differently, save for time passing. */
  private static int fingerprint(Machine machine) {
    int hash = machine.ratios.hashCode() * 31 + (usable(machine) ? 1 : 0);
    for (Attempt attempt : machine.openAttempts.values()) {
      hash = hash * 31 + attempt.job.spec.ref().hashCode();
      hash = hash * 31 + attempt.task;
      hash = hash * 31 + (int) attempt.number;
      hash = hash * 31 + (attempt.runningAt >= 0 ? 1 : 0);
      hash = hash * 31 + (attempt.stopping ? 1 : 0);
      hash = hash * 31 + attempt.job.finishedCount;
    }
    return hash;
  }

  private static boolean usable(Machine machine) {
    return !machine.cordoned
        && !machine.deleting
        && !machine.failed
        && machine.reclaimAt < 0
        && machine.errorStreak == 0;
  }

  private static MachineView view(Machine machine, double now) {
    double cpus = machine.type.cpus() - machine.reservedCpus;
    double gpus = machine.type.gpus() - machine.reservedGpus;
    double mem = machine.type.memGb() - machine.reservedMemGb;
    int busy = 0;
    List<TaskView> tasks = new ArrayList<>();
    for (Attempt attempt : machine.openAttempts.values()) {
      JobSpec spec = attempt.job.spec;
      cpus -= spec.cpus();
      gpus -= spec.gpus();
      mem -= spec.memGb();
      busy++;
      if (spec.shape() == JobShape.ARRAY
          && attempt.state == TaskState.RUNNING
          && attempt.runningAt >= 0
          && !attempt.stopping) {
        tasks.add(
            new TaskView(
                spec.ref(),
                attempt.task,
                attempt.number,
                now - attempt.runningAt,
                attempt.job.meanS(),
                spec.cpus(),
                spec.gpus(),
                spec.memGb(),
                spec.spot(),
                spec.zone(),
                spec.types()));
      }
    }
    double perS = (machine.spot ? machine.type.spotPrice() : machine.type.price()) / 3600;
    return new MachineView(
        machine.name,
        machine.type.name(),
        machine.zone,
        machine.spot,
        (int) Math.max(1, machine.type.cpus()),
        perS,
        usable(machine),
        cpus,
        gpus,
        mem,
        busy,
        List.copyOf(machine.ratios),
        tasks);
  }
}
