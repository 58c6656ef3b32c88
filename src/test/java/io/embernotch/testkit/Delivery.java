package io.embernotch.testkit;

/** What becomes of a message. Randomized tests draw by position, so the order is fixed. */
public enum Delivery {
  DELIVERED,
  /** It is never carried out, and no response comes. */
  LOST,
  /** The sender times out; {@link SimulatedCluster#deliverDelayed()} delivers it later. */
  DELAYED,
  /** It is carried out at once, and only its response is lost. */
  RESPONSE_LOST
}
