package io.embernotch.election;

import io.embernotch.store.Transaction;

/** On what terms this node may be leader: of which incarnation of the store's contents. */
public interface Candidacy {
  /**
   * What a claim to the leader's key stands for.
   *
   * @param floor added to the key's modification revision to get the epoch
   * @param waitS seconds for which a leader from before the loss may yet count itself live
   */
  record Claim(String incarnation, long epochFloor, double waitS) {}

  /** The contents are ours, or ready to be made ours. */
  boolean mayClaim();

  /** Data is lost: whoever the leader's key names is none, and a claim takes its place. */
  boolean startsNewIncarnation();

  /** Added to a leader's modification revision in the present incarnation to get its epoch. */
  long epochFloor();

  /** Adds to a claim what begins an incarnation, if one is to begin with it. */
  Claim claim(Transaction txn);

  /** The last claim was made, at this modification revision. */
  void claimSucceeded(long modRevision);

  /** The last claim was not made. */
  void claimRefused();

  /**
   * The leader's key names this incarnation: "" if a version before incarnations leads, null if
   * nobody does.
   */
  void incarnationNamed(String incarnation);

  /** The leader's key is ours though our lease is not: is what the service holds still ours? */
  void probe();

  /** The leader's key stands there though the lease is gone that it hangs on: leases are lost. */
  void leaderKeyOrphaned(String holder);
}
