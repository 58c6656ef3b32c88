package io.embernotch.steward;

import io.embernotch.model.Attempt;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.model.Shape;
import io.embernotch.model.TaskState;
import io.embernotch.straggler.MachineView;
import io.embernotch.straggler.MachineView.TaskView;
import io.embernotch.straggler.Parts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/** Streams starts, finishes and free room of each machine to the owner of its part. */
final class StragglerFeed {
  /** Views that have not changed are sent again after this many rounds, lest a lost one be missed. */
  private static final int REPEAT_ROUNDS = 4;

  /** Finished runs that make up a machine's recent performance. */
  static final int LATELY = 16;

  private final Env env;
  private final Ledger ledger;
  private final BiConsumer<String, MachineView> send;
  private final BiConsumer<String, String> forget;
  private final Map<String, String> owners = new HashMap<>();
  private final Map<String, Integer> sentHash = new HashMap<>();
  private final Map<String, Double> sentAt = new HashMap<>();

  StragglerFeed(
      Env env, Ledger ledger, BiConsumer<String, MachineView> send, BiConsumer<String, String> forget) {
    this.env = env;
    this.ledger = ledger;
    this.send = send;
    this.forget = forget;
  }

  void flush(Set<String> controllers) {
    double now = env.clock().now();
    for (Machine m : ledger.machines.values()) {
      if (!m.up() || m.type == null) {
        continue;
      }
      String owner = Parts.owner(m.name, controllers);
      String before = owners.put(m.name, owner);
      if (before != null && !before.equals(owner)) {
        forget.accept(before, m.name);
        sentHash.remove(m.name);
      }
      int hash = fingerprint(m);
      boolean old = now - sentAt.getOrDefault(m.name, -1e9) > REPEAT_ROUNDS * env.operator().roundS();
      Integer last = sentHash.get(m.name);
      if (last == null || last != hash || old) {
        sentHash.put(m.name, hash);
        sentAt.put(m.name, now);
        send.accept(owner, view(m, now));
      }
    }
    owners.entrySet().removeIf(
        e -> {
          if (ledger.machines.containsKey(e.getKey())) {
            return false;
          }
          forget.accept(e.getValue(), e.getKey());
          sentHash.remove(e.getKey());
          sentAt.remove(e.getKey());
          return true;
        });
  }

  /** Changes with whatever a round would see differently, save for time passing. */
  private static int fingerprint(Machine m) {
    int h = m.ratios.hashCode() * 31 + (usable(m) ? 1 : 0);
    for (Attempt a : m.open.values()) {
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
    return !m.cordoned && !m.deleting && !m.failed && m.recallAt < 0 && m.errorStreak == 0;
  }

  private static MachineView view(Machine m, double now) {
    double cpus = m.type.cpus();
    double gpus = m.type.gpus();
    double mem = m.type.memGb();
    int busy = 0;
    List<TaskView> tasks = new ArrayList<>();
    for (Attempt a : m.open.values()) {
      JobSpec j = a.job.spec;
      cpus -= j.cpus();
      gpus -= j.gpus();
      mem -= j.memGb();
      busy++;
      if (j.shape() == Shape.ARRAY && a.state == TaskState.RUNNING && a.runningAt >= 0 && !a.stopping) {
        tasks.add(
            new TaskView(
                j.ref(), a.task, a.number, now - a.runningAt, a.job.meanS(), j.cpus(), j.gpus(),
                j.memGb(), j.spot(), j.zone(), j.types()));
      }
    }
    double perS = (m.spot ? m.type.spotPrice() : m.type.price()) / 3600;
    return new MachineView(
        m.name, m.type.name(), m.zone, m.spot, (int) Math.max(1, m.type.cpus()), perS, usable(m),
        cpus, gpus, mem, busy, List.copyOf(m.ratios), tasks);
  }
}
