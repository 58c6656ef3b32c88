package io.embernotch.election;

import io.embernotch.store.Transaction;

/** Decides whether this controller may claim leadership, and for which store incarnation. */
public interface Candidacy {
  /**
   * The terms of a claim to the leader key.
   *
   * @param incarnation name of the store incarnation that is claimed
   * @param epochFloor number that is added to the key's modification revision to get the epoch
   * @param waitS seconds for which a leader from before a data loss may still count its lease as
   *     valid; 0 or negative if there is none to wait for
   */
  record Claim(String incarnation, long epochFloor, double waitS) {}

  /**
   * True if a claim is allowed: the store's contents are known, or a new incarnation is prepared.
   */
  boolean mayClaim();

  /**
   * True if the store has lost data. The controller that the key names does not lead then, and a
   * claim replaces the key.
   */
  boolean startsNewIncarnation();

  /**
   * Adds the operations that start a new incarnation to a claim, if it is to start one.
   *
   * @param transaction the transaction that writes the leader key
   * @return the terms of the claim
   */
  Claim claim(Transaction transaction);

  /**
   * The last claim succeeded.
   *
   * @param modRevision modification revision of the leader key
   */
  void claimSucceeded(long modRevision);

  /** The last claim failed. */
  void claimFailed();

  /**
   * The leader key was read.
   *
   * @param incarnation name of the store incarnation that the key names; "" if its leader runs a
   *     version without incarnations; null if the key is absent
   */
  void leaderIncarnationRead(String incarnation);

  /**
   * The leader key names this controller, which does not lead: verifies that the store's contents
   * are current.
   */
  void verifyContents();

  /**
   * The leader key exists although its lease has ended, which shows that the store has lost leases.
   *
   * @param holder name of the controller that the key names
   */
  void leaderKeyOrphaned(String holder);
}
