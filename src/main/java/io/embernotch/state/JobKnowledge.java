package io.embernotch.state;

/** What a leader knows of a job, given its id; {@link ClusterState#isNew} says what is new. */
public enum JobKnowledge {
  /** The job has something open or unwritten, or has not ended. */
  LIVE,

  /** The job has ended, and its end is in the store. */
  ENDED,

  /** Whether the job has ended can't be read: it may have, and its user may have been told so. */
  END_UNREADABLE,

  /** The job has no end of its own, and its submission can't be read. */
  SUBMISSION_UNREADABLE,

  /** This leader knows nothing of the job; the store can tell whether it was accepted. */
  NOT_SEEN
}
