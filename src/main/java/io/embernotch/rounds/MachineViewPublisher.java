package io.embernotch.rounds;

import io.embernotch.actor.Clock;
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

/**
 * Streams views of machines to the owners of their partitions: starts, completions and free
 * capacity.
 */
public final class MachineViewPublisher {
  /** Finished runs that make up a machine's recent performance. */
  public static final int RECENT_RUNS = 16;

  /** A view that has not changed is sent again after this many rounds, in case it was lost. */
  private static final int REPEAT_ROUNDS = 4;

  /**
   * All machines are visited within this many calls, a part of them in each: visiting all of them
   * at every call would take a fifth of the core's time.
   */
  private static final int VISIT_CALLS = 4;

  private static final int HASH_FACTOR = 31;
  private static final double SECONDS_PER_HOUR = 3600;

  /** What was last sent about a machine, and to whom. */
  private static final class SentView {
    final String owner;
    int fingerprint;
    double sentAt = Clock.NEVER;

    SentView(String owner) {
      this.owner = owner;
    }
  }

  private final ControllerContext context;
  private final ClusterState state;
  private final BiConsumer<String, MachineView> send;
  private final BiConsumer<String, String> remove;
  private final Map<String, SentView> sentViews = new HashMap<>();
  private Set<String> lastControllers = Set.of();
  private long sentCount;
  private int call;

  /**
   * @param send sends the owner, given first, the view of a machine
   * @param remove tells the former owner, given first, that a machine is gone or has moved
   */
  public MachineViewPublisher(
      ControllerContext context,
      ClusterState state,
      BiConsumer<String, MachineView> send,
      BiConsumer<String, String> remove) {
    this.context = context;
    this.state = state;
    this.send = send;
    this.remove = remove;
  }

  /**
   * Sends what has changed, each machine at most once a round: a finished task changes its job's
   * mean and so the views of all machines that run the job, many times between two rounds.
   *
   * @param controllers names of the live controllers, among which partitions are split
   */
  public void publish(Set<String> controllers) {
    double now = context.clock().now();
    boolean controllersChanged = !controllers.equals(lastControllers);
    lastControllers = controllers;
    call = (call + 1) % VISIT_CALLS;
    for (Machine machine : state.machines.values()) {
      if (controllersChanged || Math.floorMod(machine.name.hashCode(), VISIT_CALLS) == call) {
        SentView sent = sentView(machine, controllers, controllersChanged);
        if (sent != null) {
          sendIfDue(machine, sent, now);
        }
      }
    }
    sentViews.entrySet().removeIf(entry -> removeIfGone(entry.getKey(), entry.getValue()));
  }

  private void sendIfDue(Machine machine, SentView sent, double now) {
    double roundS = context.operatorSettings().roundS();
    if (now - sent.sentAt < roundS) {
      return;
    }
    int fingerprint = fingerprint(machine);
    if (sent.fingerprint != fingerprint || now - sent.sentAt > REPEAT_ROUNDS * roundS) {
      sent.fingerprint = fingerprint;
      sent.sentAt = now;
      sentCount++;
      send.accept(sent.owner, view(machine, now));
    }
  }

  private boolean removeIfGone(String machine, SentView sent) {
    boolean gone = !state.machines.containsKey(machine);
    if (gone) {
      remove.accept(sent.owner, machine);
    }
    return gone;
  }

  /** Number of views sent so far. */
  public long sentCount() {
    return sentCount;
  }

  /** What was sent about a machine to its present owner; null if its view can't be made yet. */
  private SentView sentView(Machine machine, Set<String> controllers, boolean controllersChanged) {
    SentView sent = sentViews.get(machine.name);
    if (sent == null) {
      if (!machine.up() || machine.type == null) {
        return null;
      }
      sent = new SentView(MachinePartitions.owner(machine.name, controllers));
      sentViews.put(machine.name, sent);
    } else if (controllersChanged) {
      String owner = MachinePartitions.owner(machine.name, controllers);
      if (!owner.equals(sent.owner)) {
        remove.accept(sent.owner, machine.name);
        sent = new SentView(owner);
        sentViews.put(machine.name, sent);
      }
    }
    return sent;
  }

  /** Differs whenever a round would see the machine differently, apart from time passing. */
  private static int fingerprint(Machine machine) {
    int hash = machine.ratios.hashCode() * HASH_FACTOR + (usable(machine) ? 1 : 0);
    for (Attempt attempt : machine.openAttempts.values()) {
      hash = hash * HASH_FACTOR + attempt.job.spec.ref().hashCode();
      hash = hash * HASH_FACTOR + attempt.task;
      hash = hash * HASH_FACTOR + (int) attempt.number;
      hash = hash * HASH_FACTOR + (attempt.runningAt >= 0 ? 1 : 0);
      hash = hash * HASH_FACTOR + (attempt.stopping ? 1 : 0);
      hash = hash * HASH_FACTOR + attempt.job.finishedCount;
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
    FreeCapacity free = FreeCapacity.of(machine);
    List<TaskView> tasks = new ArrayList<>();
    for (Attempt attempt : machine.openAttempts.values()) {
      if (mayBeStraggler(attempt)) {
        tasks.add(taskView(attempt, now));
      }
    }
    double pricePerHour = machine.spot ? machine.type.spotPrice() : machine.type.price();
    return new MachineView(
        machine.name,
        machine.type.name(),
        machine.zone,
        machine.spot,
        (int) Math.max(1, machine.type.cpus()),
        pricePerHour / SECONDS_PER_HOUR,
        usable(machine),
        free.cpus(),
        free.gpus(),
        free.memGb(),
        machine.openAttempts.size(),
        List.copyOf(machine.ratios),
        tasks);
  }

  private static boolean mayBeStraggler(Attempt attempt) {
    return attempt.job.spec.shape() == JobShape.ARRAY
        && attempt.state == TaskState.RUNNING
        && attempt.runningAt >= 0
        && !attempt.stopping;
  }

  private static TaskView taskView(Attempt attempt, double now) {
    JobSpec spec = attempt.job.spec;
    return new TaskView(
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
        spec.types());
  }
}
