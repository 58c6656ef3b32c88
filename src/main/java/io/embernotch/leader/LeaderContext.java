package io.embernotch.leader;

import io.embernotch.model.JobPhase;
import io.embernotch.peer.Frame;
import io.embernotch.rounds.PartitionViews;
import java.util.List;
import java.util.Set;

/** What a leader uses of the controller that it runs in. To be called on the core loop only. */
public interface LeaderContext {
  /** True while this controller leads and no other controller can. */
  boolean isLeaseValid();

  /** Names of the live controllers, including this one. */
  Set<String> liveControllers();

  /** Sends machine views to the controllers that own the partitions of the machines. */
  PartitionViews partitionViews();

  /**
   * Makes this controller step down: a newer leader was seen, or a commit failed its condition on
   * the leader key.
   *
   * @param reason the reason, for the log
   */
  void reportNewerLeader(String reason);

  /**
   * Reports that the store was rolled back to an earlier revision before this term began.
   *
   * @param reason evidence of the rollback, for the log
   */
  void storeRolledBack(String reason);

  /**
   * Whether it is certain that the store was not rolled back just before this process first read
   * it.
   */
  boolean areContentsConfirmed();

  /**
   * Records that the agents of all machines have sent heartbeats, and that none contradicts the
   * store's contents.
   */
  void confirmContents();

  /** Records the epoch of a fencing token that an agent has seen. */
  void observeEpoch(long epoch);

  /**
   * Gives up leadership, because this controller is poorly connected. Has no effect unless another
   * controller is live.
   *
   * @param reason the reason, for the log
   */
  void resign(String reason);

  /**
   * Records that the store holds the completion of a job.
   *
   * @param ref the job's id
   * @param phase the job's final phase
   * @param tasks number of the job's tasks
   * @param done number of the tasks that are done
   */
  void jobCompleted(String ref, JobPhase phase, int tasks, int done);

  /** Sends a frame to all other controllers, and applies it to this controller as well. */
  void broadcast(Frame frame);

  /**
   * Names of the images that a leader last published for the machine, least recently used first;
   * empty if none are known.
   */
  List<String> lastKnownImages(String machine);
}
