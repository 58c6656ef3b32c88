package io.embernotch.scheduling;

/** Why a plan did not start pending tasks. */
public enum WaitReason {
  /** No task of the job may start yet. */
  DELAYED("delayed"),

  /** The team's limit is used up. */
  QUOTA("quota"),

  /** The rest of the team's limit is kept for a waiting gang. */
  QUOTA_KEPT_FOR_GANG("quota kept for gang"),

  /** Capacity that is being freed, booting or rented is claimed for all of them. */
  CAPACITY_COMING("capacity coming"),

  /** There is no capacity, and some machines accumulate capacity for gangs. */
  GANG_ACCUMULATION("gang accumulation"),

  /** There is no capacity. */
  NO_CAPACITY("no capacity");

  private final String text;

  WaitReason(String text) {
    this.text = text;
  }

  /** The text for logs and the overview. */
  public String text() {
    return text;
  }
}
