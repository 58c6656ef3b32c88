package io.embernotch.jobs;

import io.embernotch.agents.AgentReconciler;
import io.embernotch.codec.JobCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.model.Machine;
import io.embernotch.persistence.StateWriter;
import io.embernotch.settings.Settings;
import io.embernotch.state.ClusterState;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Cancellations that users have requested and that are not decided yet. From the request on, no
 * task of the job is started and all running ones are stopped. A cancellation is decided, and only
 * then reported, once no task of the job can run for longer than {@code cancel_s} after the
 * decision: each task provably no longer runs, or its machine's worker must kill it in time,
 * whichever controller renews the worker's lease. During a network partition, the decision waits
 * until the renewals on the other side of the partition end.
 *
 * <p>A cancellation is not decided either while a start command of this leader may still be
 * executed, or a task waits for its image: a machine that hangs may execute the command seconds
 * later, after the job was reported as cancelled.
 *
 * <p>Owned by the leader's event loop.
 */
public final class Cancellations {
  /**
   * Share of {@code cancel_s} within which all tasks must have ended. The commit and its response
   * also count, and take far less than the rest.
   */
  private static final double TASK_END_SHARE = 0.9;

  /** A request waits at most a heartbeat interval divided by this for its decision. */
  private static final int REQUEST_WAITS_PER_HEARTBEAT = 2;

  private final ControllerContext context;
  private final ClusterState state;
  private final StateWriter stateWriter;
  private final JobCompletions completions;
  private final AgentReconciler agents;

  /** The replies that wait for each job's cancellation. */
  private final Map<Job, List<Promise<HttpResponse>>> pendingReplies = new LinkedHashMap<>();

  /** Starts without pending cancellations; {@code agents} provides the expiry of worker leases. */
  public Cancellations(
      ControllerContext context,
      ClusterState state,
      StateWriter stateWriter,
      JobCompletions completions,
      AgentReconciler agents) {
    this.context = context;
    this.state = state;
    this.stateWriter = stateWriter;
    this.completions = completions;
    this.agents = agents;
  }

  /**
   * Registers a user's request to cancel a job, after stop commands for its tasks were issued.
   * Completes {@code reply} with the job's final phase, or with 503 if the decision takes longer
   * than half a heartbeat interval.
   */
  public void request(Job job, Promise<HttpResponse> reply) {
    pendingReplies.computeIfAbsent(job, key -> new ArrayList<>()).add(reply);
    context
        .timers()
        .after(
            context.settings().workers().heartbeatIntervalS() / REQUEST_WAITS_PER_HEARTBEAT,
            () -> reply.tryComplete(HttpResponse.unavailable("tasks of it cannot be reached yet")));
    check(job);
  }

  /** Decides every requested cancellation that may be decided by now. */
  public void checkAll() {
    List.copyOf(pendingReplies.keySet()).forEach(this::check);
  }

  /**
   * Decides a requested cancellation of the job if it may be decided by now. To be called when an
   * attempt of the job may have ended.
   */
  public void check(Job job) {
    List<Promise<HttpResponse>> replies = pendingReplies.get(job);
    if (replies == null) {
      return;
    }
    if (job.finalPhase == null) {
      if (!allTasksEndInTime(job)) {
        return;
      }
      completions.decide(job, JobPhase.CANCELLED);
    }
    pendingReplies.remove(job);
    replyOnceEndPersisted(job, replies);
  }

  private void replyOnceEndPersisted(Job job, List<Promise<HttpResponse>> replies) {
    HttpResponse response =
        HttpResponse.of(200, JobCodec.phaseResponse(job.spec.ref(), job.finalPhase));
    JobCompletions.onceEndPersisted(
        stateWriter, job, () -> replies.forEach(reply -> reply.tryComplete(response)));
  }

  private boolean allTasksEndInTime(Job job) {
    double deadline =
        context.clock().now()
            + context.settings().workers().cancelS() * (TASK_END_SHARE - Settings.DRIFT);
    return job.openAttempts.values().stream().allMatch(attempt -> taskEndsBy(attempt, deadline));
  }

  private boolean taskEndsBy(Attempt attempt, double deadline) {
    Machine machine = state.machines.get(attempt.machine);
    return machine != null
        && agents.leaseExpiresBy(machine) <= deadline
        && !attempt.mayStillStart(agents.tokenBase());
  }
}
