package io.embernotch.leader;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.http.HttpResponse;
import io.embernotch.jobs.DependencyGraph;
import io.embernotch.jobs.JobRequestHandler;
import io.embernotch.model.Job;
import io.embernotch.persistence.StoredSubmission;
import io.embernotch.state.ClusterState;
import io.embernotch.state.UnreadableEntries;
import io.embernotch.state.UnreadableEntries.UnreadableSubmission;
import io.embernotch.store.VersionedEntry;
import io.vertx.core.Promise;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reacts to new jobs, to jobs that are released or cancelled because of their dependencies, and to
 * users' cancellations.
 */
final class JobEventHandler implements DependencyGraph.Listener, JobRequestHandler.Host {
  /** The logger of the leader: operators filter log lines about jobs by its name. */
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

  private final LeaderComponents components;

  JobEventHandler(LeaderComponents components) {
    this.components = components;
  }

  /**
   * Adds a job that was accepted, or whose submission was found in the store; does nothing if the
   * job is known.
   *
   * @param shardSize number of the job's tasks in each shard
   */
  void jobAccepted(Job job, int shardSize) {
    ClusterState state = components.state;
    String ref = job.spec.ref();
    if (!state.isNew(ref)) {
      return;
    }
    state.jobs.put(ref, job);
    components.failoverRecovery.delayIfProgressUncertain(job);
    components.shardLayout.recordShardSize(ref, shardSize);
    components.dependencyGraph.add(job);
    if (!job.blocked()) {
      recordDemand(job);
    }
    LOG.debug("job {}: {} x {} of {}", ref, job.spec.tasks(), job.spec.shape(), job.spec.team());
    components.schedulingLoop.scheduleSoon();
  }

  private void recordDemand(Job job) {
    components.demandForecast.recordArrival(job.spec, components.context.clock().now());
  }

  private void stopOpenAttempts(Job job) {
    List.copyOf(job.openAttempts.values())
        .forEach(attempt -> components.stopper.requestStop(attempt, 0));
  }

  @Override
  public void released(Job job) {
    recordDemand(job);
    components.schedulingLoop.scheduleNow();
  }

  @Override
  public void cancelled(Job job) {
    components.completions.completedByDependency(job);
    stopOpenAttempts(job);
  }

  @Override
  public void jobFound(VersionedEntry entry) {
    if (components.lifecycle.isStopped()) {
      return;
    }
    StoredSubmission found;
    try {
      found = StoredSubmission.read(entry.value());
    } catch (RuntimeException e) {
      LOG.error("the value of {} can't be read: {}", entry.key(), e.toString());
      submissionUnreadable(entry);
      return;
    }
    jobAccepted(found.job(), found.shardSize());
  }

  private void submissionUnreadable(VersionedEntry entry) {
    UnreadableEntries unreadable = components.state.unreadable;
    unreadable.addKey(entry.key());
    unreadable.addSubmission(
        entry.key().substring(JobProgressCodec.JOB_PREFIX.length()),
        new UnreadableSubmission(StoredSubmission.readDependencies(entry.value()), false));
  }

  @Override
  public void cancel(Job job, Promise<HttpResponse> reply) {
    LOG.debug("job {}: cancellation requested", job.spec.ref());
    job.cancelRequested = true;
    stopOpenAttempts(job);
    components.cancellations.request(job, reply);
    components.schedulingLoop.scheduleSoon();
  }

  @Override
  public boolean isStopped() {
    return components.lifecycle.isStopped();
  }

  @Override
  public boolean mayAnswerNotFound() {
    return !components.term.baseSnapshot().jobsMissing() && areContentsConfirmed();
  }

  private boolean areContentsConfirmed() {
    LeaderContext leaderContext = components.leaderContext;
    boolean machinesListed = components.fleetManager.hasReceivedMachineList();
    if (!leaderContext.areContentsConfirmed()
        && components.lifecycle.isLoaded()
        && components.rollbackDetector.isCheckComplete(machinesListed)) {
      leaderContext.confirmContents();
    }
    return leaderContext.areContentsConfirmed();
  }

  @Override
  public void describe(Job job, ObjectNode into) {
    components.sharedState.describe(job, into);
  }
}
