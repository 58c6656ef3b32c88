package io.embernotch.rounds;

import io.embernotch.context.ControllerContext;
import io.embernotch.state.ClusterState;
import io.embernotch.model.Attempt;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.model.JobShape;
import io.embernotch.model.TaskState;
import io.embernotch.straggler.MachineView;
import io.embernotch.straggler.MachineView.TaskView;
import io.embernotch.straggler.MachinePartitions;
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
    for (Machine m : state.machines.values()) {
      if (!moved && Math.floorMod(m.name.hashCode(), TURNS) != turn) {
        continue;
      }
      Sent sent = sentCount(m, controllers, moved);
      if (sent == null || now - sent.at < context.operator().roundS()) {
        continue;
      }
      int hash = fingerprint(m);
      if (sent.hash != hash || now - sent.at > REPEAT_ROUNDS * context.operator().roundS()) {
        sent.hash = hash;
        sent.at = now;
        messages++;
        send.accept(sent.owner, view(m, now));
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

  private Sent sentCount(Machine m, Set<String> controllers, boolean moved) {
    Sent sent = sentTo.get(m.name);
    if (sent == null) {
      if (!m.up() || m.type == null) {
        return null;
      }
      sent = new Sent(MachinePartitions.owner(m.name, controllers));
      sentTo.put(m.name, sent);
    } else if (moved) {
      String owner = MachinePartitions.owner(m.name, controllers);
      if (!owner.equals(sent.owner)) {
        forget.accept(sent.owner, m.name);
        sent = new Sent(owner);
        sentTo.put(m.name, sent);
      }
    }
    return sent;
  }

  /** Changes with whatever a round would see differently, save for time passing. */
  private static int fingerprint(Machine m) {
    int h = m.ratios.hashCode() * 31 + (usable(m) ? 1 : 0);
    for (Attempt a : m.openAttempts.values()) {
      h = h * 31 + a.job.spec.ref().hashCode();
      h = h * 31 + a.task;
      h = h * 31 + (int) a.number;
      h = h * 31 + (a.runningAt >= 0 ? 1 : 0);
      h = h * 31 + (a.stopping ? 1 : 0);
      h = h * 31 + a.job.finishedCount;
    }
    return h;
  }

  private static boolean usable(Machine m) {
    return !m.cordoned && !m.deleting && !m.failed && m.reclaimAt < 0 && m.errorStreak == 0;
  }

  private static MachineView view(Machine m, double now) {
    double cpus = m.type.cpus() - m.reservedCpus;
    double gpus = m.type.gpus() - m.reservedGpus;
    double mem = m.type.memGb() - m.reservedMemGb;
    int busy = 0;
    List<TaskView> tasks = new ArrayList<>();
    for (Attempt a : m.openAttempts.values()) {
      JobSpec j = a.job.spec;
      cpus -= j.cpus();
      gpus -= j.gpus();
      mem -= j.memGb();
      busy++;
      if (j.shape() == JobShape.ARRAY
          && a.state == TaskState.RUNNING
          && a.runningAt >= 0
          && !a.stopping) {
        tasks.add(
            new TaskView(
                j.ref(),
                a.task,
                a.number,
                now - a.runningAt,
                a.job.meanS(),
                j.cpus(),
                j.gpus(),
                j.memGb(),
                j.spot(),
                j.zone(),
                j.types()));
      }
    }
    double perS = (m.spot ? m.type.spotPrice() : m.type.price()) / 3600;
    return new MachineView(
        m.name,
        m.type.name(),
        m.zone,
        m.spot,
        (int) Math.max(1, m.type.cpus()),
        perS,
        usable(m),
        cpus,
        gpus,
        mem,
        busy,
        List.copyOf(m.ratios),
        tasks);
  }
}
