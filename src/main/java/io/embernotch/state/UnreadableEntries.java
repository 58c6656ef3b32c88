package io.embernotch.state;

import io.embernotch.model.Job;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Entries of the store that a leader can't read, and what is left of the jobs behind them. What
 * can't be read is unknown, not absent. Owned by the leader's event loop.
 */
public final class UnreadableEntries {
  /**
   * What is known of a job whose submission can't be read.
   *
   * @param dependencies the jobs that it depends on; empty if these can't be read either
   * @param mayHaveProgress whether an earlier leader may have written progress of it
   */
  public record UnreadableSubmission(
      Optional<List<String>> dependencies, boolean mayHaveProgress) {}

  private final Set<String> keys = new TreeSet<>();
  private final Map<String, UnreadableSubmission> submissions = new HashMap<>();
  private final Set<String> startedJobs = new HashSet<>();
  private final Set<String> unknownEnds = new HashSet<>();
  private final List<Job> jobsWithUnknownEnd = new ArrayList<>();

  /** Forgets everything, before a load. */
  public void clear() {
    keys.clear();
    submissions.clear();
    startedJobs.clear();
    unknownEnds.clear();
    jobsWithUnknownEnd.clear();
  }

  /** The value of this key can't be read. */
  public void addKey(String key) {
    keys.add(key);
  }

  /** The submission of a job can't be read; what was known of it first stays. */
  public void addSubmission(String ref, UnreadableSubmission submission) {
    submissions.putIfAbsent(ref, submission);
  }

  /** A job whose submission can't be read has progress in the store. */
  public void addStarted(String ref) {
    startedJobs.add(ref);
  }

  /** Neither the submission of a job nor whether it has ended can be read. */
  public void addUnknownEnd(String ref) {
    unknownEnds.add(ref);
  }

  /** Of a job all but whether it has ended can be read: tasks of it may still run. */
  public void addUnknownEnd(Job job) {
    unknownEnds.add(job.spec.ref());
    jobsWithUnknownEnd.add(job);
  }

  /** Keys of the store whose values can't be read, in their order. */
  public Set<String> keys() {
    return Collections.unmodifiableSet(keys);
  }

  /** What is known of a job whose submission can't be read; empty if it can, or is not there. */
  public Optional<UnreadableSubmission> submission(String ref) {
    return Optional.ofNullable(submissions.get(ref));
  }

  /** Whether the store has progress of a job whose submission can't be read. */
  public boolean isStarted(String ref) {
    return startedJobs.contains(ref);
  }

  /** Whether it can't be read if the job has ended. */
  public boolean isEndUnknown(String ref) {
    return unknownEnds.contains(ref);
  }

  /** Jobs that may have ended, and tasks of which may still run. */
  public Collection<Job> jobsWithUnknownEnd() {
    return Collections.unmodifiableList(jobsWithUnknownEnd);
  }
}
