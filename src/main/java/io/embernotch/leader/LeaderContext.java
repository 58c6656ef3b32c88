package io.embernotch.leader;

import io.embernotch.model.JobPhase;
import io.embernotch.peer.Frame;
import io.embernotch.rounds.PartitionViews;
import java.util.List;
import java.util.Set;

/** What a leader needs of its controller. */
public interface LeaderContext {
  boolean isLeaseValid();

  Set<String> controllers();

  /** Brings views to the controllers that own them. */
  PartitionViews partitionViews();

  void superseded(String why);

  /** Somebody has seen the token of a leader with this epoch. */
  void observeEpoch(long epoch);

  /** Gives leadership up, since this node is badly placed for it. */
  void resign(String why);

  void jobCompleted(String ref, JobPhase phase, int tasks, int done);

  /** Says something to all other controllers. */
  void broadcast(Frame frame);

  /** What an earlier leader said of a machine's images. */
  List<String> lastKnownImages(String machine);
}
