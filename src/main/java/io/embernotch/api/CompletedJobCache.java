package io.embernotch.api;

import io.embernotch.codec.JobCodec;
import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.JobPhase;
import java.util.Map;
import java.util.TreeMap;

/**
 * Ends of jobs that are known to be in the store. They never change, so any controller may repeat
 * them. Owned by the controller's event loop.
 */
public final class CompletedJobCache {
  private static final int MAX_JOBS = 10_000;

  private record CompletedJob(JobPhase phase, int done) {}

  private final Map<String, CompletedJob> completed = new LeastRecentlyUsed<>(MAX_JOBS);

  /** Adds a job that has ended, with the number of its tasks that are done; the first end stays. */
  public void put(String ref, JobPhase phase, int done) {
    completed.putIfAbsent(ref, new CompletedJob(phase, done));
  }

  /** How the job has ended; null if no end of it is known. */
  JobPhase phase(String ref) {
    CompletedJob job = completed.get(ref);
    return job == null ? null : job.phase;
  }

  /** How each job has ended whose end is known, by id. */
  Map<String, JobPhase> phases() {
    Map<String, JobPhase> phases = new TreeMap<>();
    completed.forEach((ref, job) -> phases.put(ref, job.phase));
    return phases;
  }

  /** Whether the job is known to be done. */
  boolean isDone(String ref) {
    CompletedJob job = completed.get(ref);
    return job != null && job.phase == JobPhase.DONE;
  }

  /** The response to a poll; null if no end of the job is known. */
  public HttpResponse status(String ref) {
    CompletedJob job = completed.get(ref);
    return job == null
        ? null
        : HttpResponse.of(200, JobCodec.statusResponse(ref, job.phase, job.done, 0));
  }

  /** The response to a submission or a cancellation; null if no end of the job is known. */
  public HttpResponse brief(String ref) {
    CompletedJob job = completed.get(ref);
    return job == null ? null : HttpResponse.of(200, JobCodec.phaseResponse(ref, job.phase));
  }
}
