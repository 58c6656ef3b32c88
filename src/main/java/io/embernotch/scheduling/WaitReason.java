package io.embernotch.scheduling;

/** Why tasks that could be placed were not started by a plan. */
public enum WaitReason {
  /** Nothing of the job may start yet. */
  DELAYED("delayed"),

  /** What runs of its team leaves nothing of the team's limit. */
  QUOTA("quota"),

  /** What is left of the team's limit is kept for a gang that waits. */
  QUOTA_KEPT_FOR_GANG("quota kept for gang"),

  /** Capacity that is being freed, booting or rented is claimed for all of them. */
  CAPACITY_COMING("capacity coming"),

  /** There is no capacity while some machines accumulate it for gangs. */
  GANG_ACCUMULATION("gang accumulation"),

  /** There is no capacity. */
  NO_CAPACITY("no capacity");

  private final String text;

  WaitReason(String text) {
    this.text = text;
  }

  /** As logs and the overview name it. */
  public String text() {
    return text;
  }
}
