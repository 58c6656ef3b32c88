package io.embernotch.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.settings.Settings;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The rules of PROTOCOL and what the operators' pages add, held against what users, workers and the
 * store saw. It knows nothing of what controllers mean: only submissions, questions and their
 * answers, starts, ends, and what is on machines.
 */
public final class InvariantChecker {
  /**
   * How long a job may wait once troubles are over, while a machine that fits has room and its team
   * is under its limit.
   */
  private static final double IDLE_S = 90;

  private final Settings settings;
  private final Map<String, JobSpec> specs = new TreeMap<>();
  private final Set<String> submittedJobs = new TreeSet<>();
  private final Set<String> acceptedJobs = new TreeSet<>();
  private final Set<String> createdJobs = new TreeSet<>();
  private final Map<String, AnswerOrderChecker> answerOrders = new HashMap<>();

  /** How many tasks of each job are on machines. */
  private final Map<String, Integer> tasksOnMachines = new HashMap<>();

  /** When a task of each job was last started. */
  private final Map<String, Double> lastStartAt = new HashMap<>();

  /**
   * When a user was first told that a job runs, counted anew whenever a task of it leaves a
   * machine.
   */
  private final Map<String, Double> runningReportedAt = new HashMap<>();

  private final Map<String, String> finalPhases = new TreeMap<>();
  private final Map<String, Double> cancelRequestedAt = new TreeMap<>();
  private final Map<String, Double> cancelledAt = new TreeMap<>();
  private final Map<String, BitSet> doneTasks = new HashMap<>();
  private final Map<String, Double> idleSince = new HashMap<>();
  private final Set<String> reportedViolations = new TreeSet<>();
  private final List<String> violations = new ArrayList<>();

  /**
   * Starts after a cancellation was confirmed; within {@code cancel_s} they break no rule, and
   * there should be none.
   */
  public final List<String> startsAfterCancellation = new ArrayList<>();

  /** From the first time that a user asked for a cancellation to its confirmation, in seconds. */
  public final List<Double> cancellationDelays = new ArrayList<>();

  /** Troubles are over: no job may be left waiting beside room for it. */
  public boolean faultsOver;

  public InvariantChecker(Settings settings) {
    this.settings = settings;
  }

  public List<String> violations() {
    return violations;
  }

  void reportViolation(String what) {
    if (reportedViolations.add(what)) {
      violations.add(what);
    }
  }

  // ---- what users see

  public void submitted(byte[] body, HttpResponse a, double askedAt, double now) {
    ObjectNode o = Json.object();
    JobSpec spec;
    try {
      o = Json.parseObject(body);
      spec = JobCodec.read(o);
    } catch (MalformedInputException e) {
      // A job that is known gets its state, whatever else is sent under its name.
      if (a.status() == 201
          || (a.status() == 200 && !acceptedJobs.contains(o.path("ref").asText()))) {
        reportViolation("a submission that lacks something is accepted: " + e.getMessage());
      }
      return;
    }
    String ref = spec.ref();
    submittedJobs.add(ref);
    specs.putIfAbsent(ref, spec);
    if (a.status() == 201 && !createdJobs.add(ref)) {
      reportViolation(ref + " is created twice");
    }
    if (a.status() == 201 || a.status() == 200) {
      acceptedJobs.add(ref);
      statusReceived(ref, a, askedAt, now);
    } else if ((a.status() == 400 || a.status() == 422) && acceptedJobs.contains(ref)) {
      reportViolation(ref + " was accepted, and submitted again gets " + a.status());
    }
  }

  public void polled(String ref, HttpResponse a, double askedAt, double now, boolean inStore) {
    if (a.status() == 404) {
      checkOrder(
          ref, new AnswerOrderChecker.State(AnswerOrderChecker.Stage.UNKNOWN, 0), askedAt, now);
    }
    if (a.status() == 200 && !submittedJobs.contains(ref) && !inStore) {
      reportViolation(ref + " is invented");
    }
    statusReceived(ref, a, askedAt, now);
  }

  public void cancelRequested(String ref, double now) {
    cancelRequestedAt.putIfAbsent(ref, now);
  }

  /**
   * An answer to what was asked at {@code askedAt}: older than what was told after that it may be,
   * unless both are ends.
   */
  public void statusReceived(String ref, HttpResponse a, double askedAt, double now) {
    if (a.status() != 200 && a.status() != 201) {
      return;
    }
    ObjectNode body = Json.parseObject(a.body());
    String phase = body.path("phase").asText();
    boolean isEnd = phase.equals("done") || phase.equals("cancelled");
    String end = finalPhases.get(ref);
    if (isEnd && end != null && !end.equals(phase)) {
      reportViolation(ref + " was " + end + " and is " + phase);
    }
    int counted = body.path("done").asInt(Integer.MAX_VALUE);
    checkOrder(
        ref,
        isEnd
            ? new AnswerOrderChecker.State(AnswerOrderChecker.Stage.ENDED, 0)
            : new AnswerOrderChecker.State(AnswerOrderChecker.Stage.ACCEPTED, counted),
        askedAt,
        now);
    checkRunningReported(ref, phase, askedAt, now);
    JobSpec spec = specs.get(ref);
    if (phase.equals("done") && spec != null && !allDone(ref, spec)) {
      reportViolation(ref + " is called done before all of its tasks are");
    }
    if (phase.equals("cancelled")) {
      boolean byItself =
          !cancelRequestedAt.containsKey(ref)
              && submittedJobs.contains(ref)
              && (spec == null || spec.dependencies().isEmpty());
      if (byItself) {
        reportViolation(ref + " is called cancelled, and nobody asked for it");
      }
      if (cancelledAt.putIfAbsent(ref, now) == null && cancelRequestedAt.containsKey(ref)) {
        cancellationDelays.add(now - cancelRequestedAt.get(ref));
      }
    }
    if (isEnd) {
      finalPhases.put(ref, phase);
    }
  }

  private void checkOrder(String ref, AnswerOrderChecker.State told, double askedAt, double now) {
    AnswerOrderChecker order = answerOrders.computeIfAbsent(ref, r -> new AnswerOrderChecker());
    AnswerOrderChecker.State later = order.contradictedBy(told, askedAt);
    if (later != null) {
      reportViolation(ref + " was told as " + later + " and then, asked after that, as " + told);
    }
    order.received(told, now);
  }

  /**
   * A job that was told to run, and of which no task has left its machine since, is not told to be
   * queued. A leader that has sent a start learns from the answer that it was carried out, so those
   * just started do not count yet.
   */
  private void checkRunningReported(String ref, String phase, double askedAt, double now) {
    double knownS = settings.workers().heartbeatIntervalS() / 6;
    if (tasksOnMachines.getOrDefault(ref, 0) == 0
        || askedAt - lastStartAt.getOrDefault(ref, 0.0) < knownS) {
      return;
    }
    if (phase.equals("running")) {
      runningReportedAt.putIfAbsent(ref, now);
    } else if (phase.equals("queued")
        && askedAt > runningReportedAt.getOrDefault(ref, Double.MAX_VALUE)) {
      reportViolation(ref + " was told to run, runs on, and is told to be queued");
    }
  }

  /** A task is no longer on its machine. */
  void taskRemoved(String task) {
    tasksOnMachines.merge(refOf(task), -1, Integer::sum);
    runningReportedAt.remove(refOf(task));
  }

  private boolean allDone(String ref, JobSpec spec) {
    int n = doneTasks.getOrDefault(ref, new BitSet()).cardinality();
    return spec.shape() == JobShape.GANG ? n > 0 : n >= spec.tasks();
  }

  // ---- what workers see

  private static String refOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  private static int indexOf(String task) {
    return Integer.parseInt(task.substring(task.lastIndexOf('/') + 1));
  }

  public void taskExited(String task, String cause) {
    if (cause.equals("done")) {
      doneTasks.computeIfAbsent(refOf(task), r -> new BitSet()).set(indexOf(task));
    }
  }

  /**
   * A task has started on a machine; {@code job} is its description as the store has it, or null.
   */
  public void taskStarted(
      FakeWorker on, String task, JsonNode job, Iterable<FakeWorker> workers, double now) {
    String ref = refOf(task);
    tasksOnMachines.merge(ref, 1, Integer::sum);
    lastStartAt.put(ref, now);
    if (job != null) {
      specs.putIfAbsent(ref, JobCodec.read(job));
    }
    JobSpec spec = specs.get(ref);
    Double told = cancelledAt.get(ref);
    if (told != null) {
      startsAfterCancellation.add(
          task
              + " on "
              + on.name
              + " "
              + Math.round(now - told)
              + " s after its cancellation was told");
      if (now - told > settings.workers().cancelS()) {
        reportViolation(task + " starts later than cancel_s after its cancellation was told");
      }
    }
    if (spec == null) {
      return;
    }
    Map<String, Integer> perZone = new HashMap<>();
    double gpus = 0;
    double cpus = 0;
    for (FakeWorker w : workers) {
      for (String t : w.runningTasks()) {
        JobSpec s = specs.get(refOf(t));
        if (w != on && t.equals(task)) {
          reportViolation(task + " starts on " + on.name + " while it is on " + w.name);
        }
        if (refOf(t).equals(ref)) {
          perZone.merge(w.zone, 1, Integer::sum);
        }
        if (s != null && s.team().equals(spec.team())) {
          gpus += s.gpus();
          cpus += s.cpus();
        }
      }
    }
    Settings.Team team = settings.teams().get(spec.team());
    if (team != null
        && ((team.gpusMax() > 0 && gpus > team.gpusMax() + 1e-6)
            || (team.cpusMax() > 0 && cpus > team.cpusMax() + 1e-6))) {
      reportViolation("team " + spec.team() + " is over its limit with " + task + " on " + on.name);
    }
    boolean place =
        spec.allows(on.type, on.zone, on.spot)
            && (!spec.oneZone() || perZone.size() < 2)
            && perZone.getOrDefault(on.zone, 0) <= spec.zoneCap();
    if (!place) {
      reportViolation(task + " starts at a wrong place, " + on.name + " in " + on.zone);
    }
  }

  // ---- what is on machines as time goes by

  /** Looks at all machines, hung and cut ones too. */
  public void checkMachines(Iterable<FakeWorker> workers, double now) {
    double late = settings.workers().cancelS();
    boolean any = cancelledAt.values().stream().anyMatch(at -> now - at > late);
    if (!any && !faultsOver) {
      return;
    }
    for (FakeWorker w : workers) {
      for (String t : w.runningTasks()) {
        Double at = cancelledAt.get(refOf(t));
        if (at != null && now - at > late) {
          reportViolation(
              t + " is on " + w.name + " later than cancel_s after its cancellation was told");
        }
      }
    }
    if (faultsOver) {
      checkWaitingJobs(workers, now);
    }
  }

  private void checkWaitingJobs(Iterable<FakeWorker> workers, double now) {
    Map<String, Integer> on = new HashMap<>();
    Map<String, Double> used = new HashMap<>();
    List<FakeWorker> up = new ArrayList<>();
    for (FakeWorker w : workers) {
      if (!w.partitioned
          && !w.hung
          && !w.inboundPartitioned
          && !w.outboundPartitioned
          && w.reclaimNoticeS == null) {
        up.add(w);
      }
      for (String t : w.runningTasks()) {
        on.merge(refOf(t), 1, Integer::sum);
        JobSpec s = specs.get(refOf(t));
        used.merge(s == null ? "" : s.team(), s == null ? 0 : s.gpus(), Double::sum);
      }
    }
    for (String ref : acceptedJobs) {
      JobSpec s = specs.get(ref);
      int left =
          s.tasks()
              - on.getOrDefault(ref, 0)
              - (s.shape() == JobShape.ARRAY
                  ? doneTasks.getOrDefault(ref, new BitSet()).cardinality()
                  : 0);
      boolean gang = s.shape() == JobShape.GANG;
      boolean waits =
          !finalPhases.containsKey(ref)
              && !cancelRequestedAt.containsKey(ref)
              && s.dependencies().isEmpty()
              && (gang ? on.getOrDefault(ref, 0) == 0 && !allDone(ref, s) : left > 0);
      double max = settings.teams().get(s.team()).gpusMax();
      int need = gang ? s.tasks() : 1;
      boolean room =
          waits
              && (max <= 0 || used.getOrDefault(s.team(), 0.0) + need * s.gpus() <= max + 1e-6)
              && fits(s, need, up);
      if (!room) {
        idleSince.remove(ref);
      } else if (now - idleSince.computeIfAbsent(ref, r -> now) > IDLE_S) {
        reportViolation(ref + " waits for " + IDLE_S + " s beside room for it");
      }
    }
  }

  /**
   * Room for so many tasks at once; all of them in one zone, or spread, where the job wants that.
   */
  private boolean fits(JobSpec s, int need, List<FakeWorker> up) {
    Map<String, Integer> perZone = new HashMap<>();
    for (FakeWorker w : up) {
      if (s.allows(w.type, w.zone, w.spot)) {
        double gpus = FakeWorker.GPUS;
        double cpus = FakeWorker.CPUS;
        for (String t : w.runningTasks()) {
          JobSpec o = specs.get(refOf(t));
          gpus -= o == null ? FakeWorker.GPUS : o.gpus();
          cpus -= o == null ? FakeWorker.CPUS : o.cpus();
        }
        int n =
            (int)
                Math.floor(
                    Math.min(
                            s.gpus() > 0 ? gpus / s.gpus() : 1e6,
                            s.cpus() > 0 ? cpus / s.cpus() : 1e6)
                        + 1e-6);
        perZone.merge(w.zone, Math.max(0, n), Integer::sum);
      }
    }
    if (s.oneZone() || need == 1) {
      return perZone.values().stream().anyMatch(n -> n >= need);
    }
    return perZone.values().stream().mapToInt(n -> Math.min(n, s.zoneCap())).sum() >= need;
  }
}
