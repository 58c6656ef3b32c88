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
 * Entries of the store that a leader can't read, and what is known of the jobs that they belong to.
 * What can't be read is unknown, not absent. Owned by the leader's event loop.
 */
public final class UnreadableEntries {
  /**
   * What is known of a job whose submission can't be read.
   *
   * @param dependencies ids of the jobs that it depends on; empty if these can't be read either
   * @param mayHaveProgress whether an earlier leader may have written progress of it
   */
  public record UnreadableSubmission(
      Optional<List<String>> dependencies, boolean mayHaveProgress) {}

  private final Set<String> keys = new TreeSet<>();
  private final Map<String, UnreadableSubmission> submissions = new HashMap<>();
  private final Set<String> startedJobs = new HashSet<>();
  private final Set<String> unknownEnds = new HashSet<>();
  private final List<Job> jobsWithUnknownEnd = new ArrayList<>();

  /** Removes all entries, before a load. */
  public void clear() {
    keys.clear();
    submissions.clear();
    startedJobs.clear();
    unknownEnds.clear();
    jobsWithUnknownEnd.clear();
  }

  /** Records that the value of this key can't be read. */
  public void addKey(String key) {
    keys.add(key);
  }

  /**
   * Records that the submission of a job can't be read; keeps an earlier record of the same job.
   */
  public void addSubmission(String ref, UnreadableSubmission submission) {
    submissions.putIfAbsent(ref, submission);
  }

  /** Records that the store holds progress of a job whose submission can't be read. */
  public void addStarted(String ref) {
    startedJobs.add(ref);
  }

  /** Records that neither the submission of a job nor its end can be read. */
  public void addUnknownEnd(String ref) {
    unknownEnds.add(ref);
  }

  /** Records a job whose submission can be read but whose end can't: tasks of it may still run. */
  public void addUnknownEnd(Job job) {
    unknownEnds.add(job.spec.ref());
    jobsWithUnknownEnd.add(job);
  }

  /** Returns the keys of the store whose values can't be read, in ascending order. */
  public Set<String> keys() {
    return Collections.unmodifiableSet(keys);
  }

  /** Returns what is known of a job whose submission can't be read; empty for any other job. */
  public Optional<UnreadableSubmission> submission(String ref) {
    return Optional.ofNullable(submissions.get(ref));
  }

  /** Whether the store holds progress of a job whose submission can't be read. */
  public boolean isStarted(String ref) {
    return startedJobs.contains(ref);
  }

  /** Whether the entry that holds the job's end can't be read. */
  public boolean isEndUnknown(String ref) {
    return unknownEnds.contains(ref);
  }

  /**
   * Returns the jobs with a readable submission that may have ended, or of which tasks may still
   * run.
   */
  public Collection<Job> jobsWithUnknownEnd() {
    return Collections.unmodifiableList(jobsWithUnknownEnd);
  }
}
