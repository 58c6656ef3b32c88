package io.embernotch.leader;

import io.embernotch.model.JobPhase;
import io.embernotch.peer.Frame;
import io.embernotch.rounds.PartitionViews;
import java.util.List;
import java.util.Set;

/** What a leader needs of the controller that it runs in. Core loop only. */
public interface LeaderContext {
  /** True while nobody else can be leader. */
  boolean isLeaseValid();

  /** The live controllers, this one included. */
  Set<String> controllers();

  /** Delivers machine views to the controllers that own their partitions. */
  PartitionViews partitionViews();

  /**
   * A newer leader has been seen: this one is to be stopped.
   *
   * @param why the reason, for the log
   */
  void superseded(String why);

  /**
   * The store had been put back to an earlier moment before this term began.
   *
   * @param why what shows it, for the log
   */
  void contentsPutBack(String why);

  /** Whether the store can't have been put back just before this process read it. */
  boolean areContentsConfirmed();

  /** The workers of all machines were heard, and none contradicts the store's contents. */
  void confirmContents();

  /** A fencing token of this epoch has been seen. */
  void observeEpoch(long epoch);

  /**
   * Gives leadership up, since this node is badly placed for it.
   *
   * @param why the reason, for the log
   */
  void resign(String why);

  /**
   * A job's completion is in the store.
   *
   * @param tasks number of the job's tasks
   * @param done number of those that are done
   */
  void jobCompleted(String ref, JobPhase phase, int tasks, int done);

  /** Sends a frame to all other controllers; this one learns from it what they do. */
  void broadcast(Frame frame);

  /** The images that an earlier leader published of the machine; empty if none are known. */
  List<String> lastKnownImages(String machine);
}
