package io.embernotch.incarnation;

import io.embernotch.context.ControllerContext;

/**
 * Knows whether the store may have been rolled back just before this process read it, without any
 * running controller having noticed. Workers reveal a rollback by tasks and tokens that former
 * leaders sent them. So a user is told that a job was never accepted only once the leader has
 * received reports from the workers of all machines, or once the workers' leases have expired.
 */
public final class ContentsConfirmation {
  private final ControllerContext context;

  /** When this process first read an incarnation, in seconds of the steady clock; -1 before. */
  private double incarnationReadAt = -1;

  private boolean confirmed;

  ContentsConfirmation(ControllerContext context) {
    this.context = context;
  }

  /** Records whether the store held an incarnation; only the first call after the start counts. */
  void contentsRead(boolean hasIncarnation) {
    boolean isFirstRead = incarnationReadAt < 0 && !confirmed;
    if (isFirstRead && hasIncarnation) {
      incarnationReadAt = context.clock().now();
    } else if (isFirstRead) {
      // Everything that is written from now on is written after the start of this process.
      confirmed = true;
    }
  }

  /** Records that the workers of all machines have reported and none contradicts the contents. */
  public void confirm() {
    confirmed = true;
  }

  /** Whether it is confirmed that the store was not rolled back before this process read it. */
  public boolean isConfirmed() {
    return confirmed
        || (incarnationReadAt >= 0
            && context.clock().now() - incarnationReadAt > context.settings().workers().leaseS());
  }
}
