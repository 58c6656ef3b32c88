package io.embernotch.state;

/**
 * What a leader knows of a job, given its id; see {@link ClusterState#isNew} for when a job is new.
 */
public enum JobKnowledge {
  /** The job has not ended, or has an open attempt or an unwritten change. */
  LIVE,

  /** The job has ended, and its end is in the store. */
  ENDED,

  /**
   * The entry that holds the job's end can't be read: the job may have ended, and its end may have
   * been reported to its user.
   */
  END_UNREADABLE,

  /** The job's submission can't be read, and the store holds no end of the job. */
  SUBMISSION_UNREADABLE,

  /** This leader does not know the job; a read of the store shows whether it was accepted. */
  NOT_SEEN
}
