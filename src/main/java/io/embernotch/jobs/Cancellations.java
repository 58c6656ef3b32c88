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
 * Cancellations that users have requested and that are not decided yet. From the request on,
 * nothing of the job starts and all that runs is stopped. It is decided, and so made known to
 * anybody, only once no task of the job can outlive {@code cancel_s} from then on: each is proven
 * gone, or its machine's worker must kill it in time, whoever renews the worker's lease. With a
 * network partition, that takes until the renewals on the other side of it end.
 *
 * <p>Nor is it decided while a start command of this leader may yet be carried out, or a task waits
 * for its image: a machine that hangs may carry out such a start seconds later, after the user was
 * told that the job is cancelled.
 *
 * <p>Owned by the leader's event loop.
 */
public final class Cancellations {
  /**
   * Within this share of {@code cancel_s} all tasks must be gone. The commit and its answer count
   * as well, and take far less than the rest.
   */
  private static final double SHARE_FOR_TASKS = 0.9;

  /** A request waits for its decision for a heartbeat interval divided by this, at most. */
  private static final int REQUEST_WAITS_PER_HEARTBEAT = 2;

  private final ControllerContext context;
  private final ClusterState state;
  private final StateWriter stateWriter;
  private final JobCompletions completions;
  private final AgentReconciler agents;

  /** The replies that wait for each job's cancellation. */
  private final Map<Job, List<Promise<HttpResponse>>> pendingReplies = new LinkedHashMap<>();

  /** No cancellation is pending at first; {@code agents} tells how long worker leases last. */
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
   * A user wants the job cancelled; stop commands for its tasks have been issued. {@code reply} is
   * completed with the job's final phase, or with 503 if that takes too long.
   */
  public void request(Job job, Promise<HttpResponse> reply) {
    pendingReplies.computeIfAbsent(job, key -> new ArrayList<>()).add(reply);
    context
        .timers()
        .after(
            context.settings().workers().heartbeatIntervalS() / REQUEST_WAITS_PER_HEARTBEAT,
            () -> reply.tryComplete(HttpResponse.later("tasks of it cannot be reached yet")));
    check(job);
  }

  /** Decides every requested cancellation that may be decided by now. */
  public void checkAll() {
    List.copyOf(pendingReplies.keySet()).forEach(this::check);
  }

  /** An attempt of the job may have ended: decides its cancellation if one is due. */
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
    HttpResponse response = HttpResponse.of(200, JobCodec.brief(job.spec.ref(), job.finalPhase));
    JobCompletions.onceEndPersisted(
        stateWriter, job, () -> replies.forEach(reply -> reply.tryComplete(response)));
  }

  private boolean allTasksEndInTime(Job job) {
    double deadline =
        context.clock().now()
            + context.settings().workers().cancelS() * (SHARE_FOR_TASKS - Settings.DRIFT);
    return job.openAttempts.values().stream().allMatch(attempt -> endsBy(attempt, deadline));
  }

  private boolean endsBy(Attempt attempt, double deadline) {
    Machine machine = state.machines.get(attempt.machine);
    return machine != null
        && agents.leaseExpiresBy(machine) <= deadline
        && !attempt.mayYetStart(agents.tokenBase());
  }
}
