package io.embernotch.incarnation;

import io.embernotch.snapshot.BaseSnapshot;

/** Receives what becomes of the store incarnation, and tells what other controllers are heard. */
public interface IncarnationHost {
  /**
   * The store holds our data.
   *
   * @param baseSnapshot what the present incarnation began with
   */
  void incarnationSettled(BaseSnapshot baseSnapshot);

  /** Whether every other controller has been heard from since this process started. */
  boolean allPeersHeard();

  /**
   * Whether this controller would have heard of a loss that others have noticed: it hears the
   * leader or, while none is known, any other controller.
   */
  boolean wouldHearOfLoss();

  /** Data is lost: whoever is leader here stops. */
  void dataLost(String why);
}
