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
import io.embernotch.store.RateLimiter.RequestPriority;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Cancellations on their way. From the moment one is asked for, nothing of the job starts and all
 * that runs is stopped; it is decided, and so told to anybody, only once no task of it can outlive
 * {@code cancel_s} from then on: each is proven gone, or its machine's worker must kill it in time
 * whoever renews the worker's lease. Behind a cut, that takes until the renewals there end.
 *
 * <p>Nor is it decided while a start of ours may yet be carried out, or a task waits for its image:
 * a cancelled job once started on a machine that had hung, seconds after its user had been told.
 */
public final class Cancellations {
  private final ControllerContext context;
  private final ClusterState state;
  private final StateWriter stateWriter;
  private final JobCompletions completions;
  private final AgentReconciler agents;
  private final Map<Job, List<Promise<HttpResponse>>> requested = new LinkedHashMap<>();

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

  /** A user wants the job cancelled; its tasks have been told to stop. */
  public void request(Job job, Promise<HttpResponse> reply) {
    requested.computeIfAbsent(job, key -> new ArrayList<>()).add(reply);
    context
        .timers()
        .after(
            context.settings().workers().heartbeatIntervalS() / 2,
            () -> reply.tryComplete(HttpResponse.later("tasks of it cannot be reached yet")));
    check(job);
  }

  public void checkAll() {
    List.copyOf(requested.keySet()).forEach(this::check);
  }

  /** Something of the job may have ended. */
  public void check(Job job) {
    List<Promise<HttpResponse>> replies = requested.get(job);
    if (replies == null) {
      return;
    }
    if (job.finalPhase == null) {
      if (!allGoneInTime(job)) {
        return;
      }
      completions.decide(job, JobPhase.CANCELLED);
    }
    requested.remove(job);
    HttpResponse answer = HttpResponse.of(200, JobCodec.brief(job.spec.ref(), job.finalPhase));
    if (job.endPersisted) {
      replies.forEach(r -> r.tryComplete(answer));
    } else {
      stateWriter.writeNow(
          job, 0, RequestPriority.HIGH, () -> replies.forEach(r -> r.tryComplete(answer)));
    }
  }

  private boolean allGoneInTime(Job job) {
    // What the commit and its answer may take counts as well: a tenth is far more than they do.
    double by =
        context.clock().now() + context.settings().workers().cancelS() * (0.9 - Settings.DRIFT);
    for (Attempt attempt : job.openAttempts.values()) {
      Machine machine = state.machines.get(attempt.machine);
      if (machine == null
          || agents.leaseExpiresBy(machine) > by
          || attempt.mayYetStart(agents.tokenBase())) {
        return false;
      }
    }
    return true;
  }
}
