package io.embernotch.scheduling;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import io.embernotch.model.Priority;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SchedulerTest {
  private static final MachineType G8 =
      new MachineType("g8", 48, 8, 288, 100, 1, 12, 4, 60, List.of("z1", "z2"));

  /** A team without a guarantee. */
  private static final String GUESTS =
      "[[cluster.teams]]\nname = 'guests'\ngpus = 0.0\ngpus_max = 0.0\n";

  private final Scheduler planner =
      new Scheduler(
          SettingsReader.parse(SimulatedCluster.settingsToml(0) + GUESTS),
          OperatorSettings.DEFAULTS);
  private final List<Job> jobs = new ArrayList<>();
  private final List<Machine> machines = new ArrayList<>();
  private boolean full;
  private long wallMs;
  private boolean spotFull;

  private SchedulingPlan plan() {
    return planner.plan(situation());
  }

  private SchedulingInput situation() {
    return new SchedulingInput(
        1000,
        wallMs,
        jobs,
        machines,
        Map.of("g8", G8),
        (t, z, s) -> full || s && spotFull,
        List.of(),
        List.of(),
        ReservationView.NONE,
        FailureRisk.NONE);
  }

  private Job add(String json) {
    JobSpec spec = JobCodec.read(Json.parseObject(json.getBytes()));
    Job job = new Job(spec, jobs.size());
    jobs.add(job);
    return job;
  }

  private Machine machine(String name, boolean spot) {
    Machine machine = new Machine(name);
    machine.type = G8;
    machine.zone = "z1";
    machine.spot = spot;
    machine.lastHeartbeatAt = 999;
    machine.confirmedAliveAt = 999;
    machine.idleSince = 999;
    machines.add(machine);
    return machine;
  }

  private static final String WHOLE =
      job("j-9", "group", 3)
          .replace("\"cards\":1.0", "\"cards\":8.0")
          .replace("\"loaner\":true", "\"loaner\":false");

  /**
   * Seconds until a gang of whole machines begins on a full fleet whose small tasks, always enough,
   * last 20 s each.
   */
  private int gangBeginsAfter(int mostS) {
    full = true;
    Job small = add(job("j-1", "array", 100_000).replace("red", "blue"));
    for (int i = 0; i < 8; i++) {
      machine("n-" + i, false);
    }
    Job gang = add(WHOLE);
    Map<Attempt, Integer> ends = new HashMap<>();
    for (int s = 0; s < mostS; s++) {
      wallMs = 1000L * s;
      for (Map.Entry<Attempt, Integer> e : Map.copyOf(ends).entrySet()) {
        if (e.getValue() <= s) {
          Attempt attempt = e.getKey();
          ends.remove(attempt);
          small.done.set(attempt.task);
          small.openAttempts.remove(attempt.task);
          Machine machine =
              machines.stream()
                  .filter(x -> x.name.equals(attempt.machine))
                  .findFirst()
                  .orElseThrow();
          machine.openAttempts.remove(Machine.taskKey("j-1", attempt.task));
          machine.attemptsChanged();
        }
      }
      for (SchedulingPlan.Start start : plan().starts()) {
        if (start.job() == gang) {
          return s;
        }
        for (SchedulingPlan.Placement p : start.placements()) {
          run(small, p.task(), p.machine());
          p.machine().attemptsChanged();
          ends.put(small.openAttempts.get(p.task()), s + 15 + (p.task() * 7) % 11);
        }
      }
    }
    return mostS;
  }

  /** Small tasks took each place as it came free, and a whole machine never did. */
  @Test
  void aGangThatWaitsGathersWholeMachines() {
    assertThat(gangBeginsAfter(400)).isLessThan(240);
  }

  private void run(Job job, int task, Machine machine) {
    Attempt attempt = new Attempt(job, task, 1, machine.name, machine.zone, 0);
    attempt.launchState = Attempt.LaunchState.CONFIRMED;
    attempt.runningAt = 900;
    job.openAttempts.put(task, attempt);
    machine.openAttempts.put(Machine.taskKey(job.spec.ref(), task), attempt);
  }

  private static String gang(String ref) {
    return job(ref, "group", 1)
        .replace("standard", "high")
        .replace("\"cards\":1.0", "\"cards\":8.0")
        .replace("\"owner\":\"red\"", "\"owner\":\"blue\"");
  }

  private Job guests(String ref, int tasks, Machine machine) {
    Job array = add(job(ref, "array", tasks).replace("\"owner\":\"red\"", "\"owner\":\"guests\""));
    for (int i = 0; i < tasks; i++) {
      run(array, i, machine);
    }
    return array;
  }

  /**
   * A guest's array on every machine kept gangs within their team's guarantee waiting for minutes.
   */
  @Test
  void whatIsGuaranteedHasGuestsStoppedOnceNoMachineIsToBeHad() {
    Machine machine = machine("n-1", false);
    Job array = guests("j-1", 8, machine);
    Job tiny =
        add(
            job("j-2", "array", 1)
                .replace("\"owner\":\"red\"", "\"owner\":\"guests\"")
                .replace("\"cards\":1.0", "\"cards\":0.0")
                .replace("standard", "idle"));
    run(tiny, 0, machine);
    add(gang("j-3").replace("\"cores\":4.0", "\"cores\":8.0"));
    assertThat(plan().stops()).isEmpty();
    full = true;
    SchedulingPlan plan = plan();
    // What need not go stays, and what can save may.
    assertThat(plan.stops()).hasSize(8).allMatch(s -> s.attempt().job == array && s.graceS() > 0);
    array.openAttempts.values().forEach(attempt -> attempt.stopping = true);
    machine.attemptsChanged();
    assertThat(plan().stops()).isEmpty();
  }

  /**
   * A guest's array had every ordinary machine rented, which left none for gangs within their
   * guarantee.
   */
  @Test
  void guestsHaveNoDearMachinesRentedWhileThereAreCheapOnes() {
    spotFull = true;
    Job array =
        add(job("j-1", "array", 50_000).replace("\"owner\":\"red\"", "\"owner\":\"guests\""));
    machine("n-1", true);
    SchedulingPlan plan = plan();
    assertThat(plan.starts().get(0).placements()).hasSize(8);
    assertThat(plan.scaleOuts()).isEmpty();
    machines.clear();
    // Where there are none at all, they would else wait for ever.
    assertThat(plan().scaleOuts()).isNotEmpty();
    array.cancelRequested = true;
    add(job("j-2", "array", 50));
    machine("n-2", true);
    assertThat(plan().scaleOuts()).isNotEmpty();
  }

  @Test
  void aGangThatGuestsCannotMakeRoomForStopsNothingAndNeitherDoesWhatIsNotGuaranteed() {
    full = true;
    Machine machine = machine("n-1", false);
    guests("j-1", 4, machine);
    Job array = add(job("j-4", "array", 4));
    for (int i = 0; i < 4; i++) {
      run(array, i, machine);
    }
    Job two =
        add(
            gang("j-2")
                .replace("\"shards\":1", "\"shards\":2")
                .replace("\"cards\":8.0", "\"cards\":4.0"));
    assertThat(plan().stops()).isEmpty();
    jobs.remove(two);
    add(gang("j-3").replace("\"owner\":\"blue\"", "\"owner\":\"guests\""));
    assertThat(plan().stops()).isEmpty();
  }

  @Test
  void whatIsGuaranteedIsNotStoppedForOthers() {
    full = true;
    Machine machine = machine("n-1", false);
    Job array = add(job("j-1", "array", 8));
    for (int i = 0; i < 8; i++) {
      run(array, i, machine);
    }
    add(gang("j-2"));
    assertThat(plan().stops()).isEmpty();
  }

  /**
   * After a takeover live services waited for a plan of everything, and four times as long for the
   * next.
   */
  @Test
  void aPlanForLiveServicesPlacesThemAsTheWholePlanDoesAndTouchesNothingElse() {
    machine("n-1", false);
    machine("n-2", true);
    Job array = add(job("j-1", "array", 8));
    Job live =
        add(
            job("j-2", "standing", 2)
                .replace("standard", "production")
                .replace("\"loaner\":true", "\"loaner\":false"));
    SchedulingPlan all = plan();
    SchedulingPlan first = planner.liveOnly(situation());
    assertThat(all.starts()).extracting(s -> s.job()).containsExactly(live, array);
    assertThat(first.starts()).containsExactly(all.starts().get(0));
    assertThat(first.scaleIns()).isEmpty();
    assertThat(first.stops()).isEmpty();
  }

  @Test
  void liveServicesHaveLesserWorkStoppedAtOnce() {
    full = true;
    Machine machine = machine("n-1", false);
    Job array = add(job("j-1", "array", 8));
    for (int t = 0; t < 8; t++) {
      run(array, t, machine);
    }
    add(
        job("j-2", "standing", 1)
            .replace("standard", "production")
            .replace("\"loaner\":true", "\"loaner\":false"));
    SchedulingPlan p = plan();
    assertThat(p.stops()).hasSize(1);
    assertThat(p.stops().get(0).graceS()).isZero();
    assertThat(p.starts()).isEmpty();
  }

  @Test
  void workOfEqualPriorityIsNeverStopped() {
    full = true;
    Machine machine = machine("n-1", false);
    Job array = add(job("j-1", "array", 8));
    for (int t = 0; t < 8; t++) {
      run(array, t, machine);
    }
    add(job("j-2", "standing", 1));
    assertThat(plan().stops()).isEmpty();
  }

  @Test
  void guaranteedWorkIsNotStoppedForWorkThatComesAfterIt() {
    // It took the room back in the next plan and was stopped again, without end.
    full = true;
    Machine machine = machine("n-1", false);
    Job array = add(job("j-1", "array", 8));
    for (int t = 0; t < 8; t++) {
      run(array, t, machine);
    }
    Job first = add(gang("j-2"));
    run(first, 0, machine("n-2", false));
    add(gang("j-3"));
    SchedulingPlan p = plan();
    assertThat(array.withinGuarantee).isTrue();
    assertThat(jobs.get(2).withinGuarantee).isFalse();
    assertThat(p.stops()).isEmpty();
  }

  @Test
  void spotWorkKeepsOffIdleOrdinaryMachinesButUsesRoomBesideServices() {
    Machine idle = machine("n-1", false);
    Machine pinned = machine("n-2", false);
    run(add(job("j-1", "standing", 1)), 0, pinned);
    add(job("j-2", "array", 9));
    SchedulingPlan p = plan();
    assertThat(p.starts()).hasSize(1);
    assertThat(p.starts().get(0).placements()).hasSize(7).allMatch(x -> x.machine() == pinned);
    assertThat(p.scaleOuts())
        .containsExactly(
            new SchedulingPlan.ScaleOutRequest("g8", p.scaleOuts().get(0).zone(), true, 1));
    assertThat(idle.openAttempts).isEmpty();
  }

  @Test
  void theMachineWithTheImageIsPreferred() {
    machine("n-1", true);
    Machine cached = machine("n-2", true);
    cached.images.add("img");
    add(job("j-1", "array", 1));
    assertThat(plan().starts().get(0).placements().get(0).machine()).isSameAs(cached);
  }

  @Test
  void anIdleMachineIsReturnedAfterAWhile() {
    Machine machine = machine("n-1", true);
    assertThat(plan().scaleIns()).isEmpty();
    machine.idleSince = 900;
    assertThat(plan().scaleIns()).containsExactly(machine);
  }

  @Test
  void aGangWhoseZoneLacksRoomWaitsForMachinesInOneZone() {
    machine("n-1", false);
    add(
        gang("j-1")
            .replace("\"shards\":1", "\"shards\":3")
            .replace("\"one_zone\":false", "\"one_zone\":true"));
    SchedulingPlan p = plan();
    assertThat(p.starts()).isEmpty();
    assertThat(p.scaleOuts()).hasSize(1);
    assertThat(p.scaleOuts().get(0).zone()).isEqualTo("z1");
    assertThat(p.scaleOuts().get(0).number()).isEqualTo(2);
  }

  @Test
  void aLostReplicaComesBackWhereItsImageIsInPlaceOfLesserWork() {
    Machine empty = machine("n-1", false);
    Machine cached = machine("n-2", false);
    cached.images.add("img");
    Job array = add(job("j-1", "array", 8).replace("\"bundle\":\"img\"", "\"bundle\":\"other\""));
    for (int t = 0; t < 8; t++) {
      run(array, t, cached);
    }
    Job service =
        add(
            job("j-2", "standing", 1)
                .replace("standard", "production")
                .replace("\"loaner\":true", "\"loaner\":false"));
    // A new service takes the empty machine; nobody is stopped for an image.
    assertThat(plan().starts().get(0).placements().get(0).machine()).isSameAs(empty);
    service.restartedTasks.set(0);
    SchedulingPlan p = plan();
    assertThat(p.starts()).isEmpty();
    assertThat(p.stops()).hasSize(1);
    p.stops().get(0).attempt().stopping = true;
    cached.attemptsChanged();
    // Until the room is there the replica keeps its claim, and no second one is stopped.
    SchedulingPlan later = plan();
    assertThat(later.starts()).isEmpty();
    assertThat(later.stops()).isEmpty();
  }

  @Test
  void shortTasksQueueForMachinesThatBootLongerThanTheyRun() {
    // Machines boot in 60 s and the tasks run 30: two in a row wait no longer than for another
    // boot.
    add(job("j-1", "array", 24));
    assertThat(plan().scaleOuts().stream().mapToInt(SchedulingPlan.ScaleOutRequest::number).sum())
        .isEqualTo(1);
    jobs.clear();
    add(job("j-2", "array", 24).replace("\"expect_s\":30.0", "\"expect_s\":300.0"));
    assertThat(plan().scaleOuts().stream().mapToInt(SchedulingPlan.ScaleOutRequest::number).sum())
        .isEqualTo(3);
  }

  @Test
  void spotWorkThatSoonFindsRoomHasNoOrdinaryMachineRented() {
    spotFull = true;
    Machine machine = machine("n-1", true);
    Job running = add(job("j-1", "array", 8));
    for (int t = 0; t < 8; t++) {
      run(running, t, machine);
    }
    add(job("j-2", "array", 6));
    assertThat(plan().scaleOuts()).isEmpty();
    // More than will have ended by then are worth one.
    add(job("j-3", "array", 6));
    assertThat(plan().scaleOuts()).hasSize(1);
  }

  private static String small(String ref, int tasks) {
    return job(ref, "array", tasks)
        .replace("\"cards\":1.0", "\"cards\":0.0")
        .replace("\"cores\":4.0", "\"cores\":2.0")
        .replace("\"mem_gb\":20.0", "\"mem_gb\":4.0");
  }

  /** They once went where GPUs were free, and took the CPUs without which those are of no use. */
  @Test
  void whatNeedsNoGpuGoesWhereAllAreTakenAndOnlyThenElsewhere() {
    Machine taken = machine("n-1", false);
    Job gang = add(gang("j-1"));
    run(gang, 0, taken);
    Machine spot = machine("n-2", true);
    add(small("j-2", 4));
    SchedulingPlan p = plan();
    assertThat(p.starts()).hasSize(1);
    assertThat(p.starts().get(0).placements()).hasSize(4).allMatch(x -> x.machine() == taken);
    assertThat(p.scaleOuts()).isEmpty();
    // The gang takes 4 CPUs here, so 22 such tasks have room beside it.
    jobs.remove(1);
    add(small("j-3", 30));
    p = plan();
    assertThat(p.starts().get(0).placements().stream().filter(x -> x.machine() == taken))
        .hasSize(22);
    assertThat(p.starts().get(0).placements().stream().filter(x -> x.machine() == spot)).hasSize(8);
  }

  @Test
  void anInheritedRankAndTheEarliestLatestStartComeFirst() {
    full = true;
    spotFull = true;
    machine("n-1", true);
    // Nine tasks each: none is within the team's guarantee, which would come first.
    add(job("j-1", "array", 9));
    Job early = add(job("j-2", "array", 9));
    early.latestStartMs = 5;
    Job high = add(job("j-3", "array", 9));
    high.effectivePriority = Priority.HIGH;
    Job waiting = add(job("j-4", "array", 9));
    waiting.effectivePriority = Priority.HIGH;
    waiting.unmetDependencies.add("j-1");
    List<String> order = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      SchedulingPlan p = plan();
      assertThat(p.starts()).hasSize(1);
      Job next = p.starts().get(0).job();
      order.add(next.spec.ref());
      jobs.remove(next);
    }
    assertThat(order).containsExactly("j-3", "j-2", "j-1");
    assertThat(jobs).containsExactly(waiting);
    assertThat(plan().starts()).isEmpty();
  }
}
