package io.embernotch.election;

import io.embernotch.store.Transaction;

/** On what terms this node may lead: of which incarnation of the store's contents. */
public interface Candidacy {
  /**
   * What a claim to the leader key stands for.
   *
   * @param incarnation name of the store incarnation that is led
   * @param epochFloor added to the key's modification revision to get the epoch
   * @param waitS seconds for which a leader from before a loss of data may yet count its lease as
   *     valid; at most 0 if there is none to wait for
   */
  record Claim(String incarnation, long epochFloor, double waitS) {}

  /** True if the store's contents are known, or ready to begin a new incarnation. */
  boolean mayClaim();

  /** True if data is lost: whoever the key names does not lead, and a claim takes its place. */
  boolean startsNewIncarnation();

  /** Adds to a claim what begins an incarnation, if one is to begin with it. */
  Claim claim(Transaction txn);

  /** The last claim was made, at this modification revision. */
  void claimSucceeded(long modRevision);

  /** The last claim was not made. */
  void claimRefused();

  /**
   * The leader key was read.
   *
   * @param incarnation the one that the key names: "" if a version before incarnations leads, null
   *     if the key is absent
   */
  void incarnationNamed(String incarnation);

  /**
   * The leader key names this node, which does not lead: checks whether the contents are current.
   */
  void probe();

  /** The leader key is there though the lease is gone that it was attached to: leases are lost. */
  void leaderKeyOrphaned(String holder);
}
