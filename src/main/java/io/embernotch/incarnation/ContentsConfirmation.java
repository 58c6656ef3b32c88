package io.embernotch.incarnation;

import io.embernotch.context.ControllerContext;

/**
 * Whether the store's contents can have been put back to an earlier moment just before this process
 * read them, unnoticed by all controllers that are up. Workers show that by what former leaders had
 * sent them, so what the contents lack is denied only once the leader has heard those of all
 * machines, or once their leases have expired.
 */
public final class ContentsConfirmation {
  private final ControllerContext context;

  /** When this process found an incarnation in the store; negative before. */
  private double foundAt = -1;

  private boolean confirmed;

  ContentsConfirmation(ControllerContext context) {
    this.context = context;
  }

  /** The contents are known; what they held as this process first read them decides. */
  void contentsKnown(boolean holdIncarnation) {
    boolean first = foundAt < 0 && !confirmed;
    if (first && holdIncarnation) {
      foundAt = context.clock().now();
    } else if (first) {
      // Whatever they hold from now on comes after this process has started.
      confirmed = true;
    }
  }

  /** The leader has heard the workers of all machines, and none contradicts the contents. */
  public void confirm() {
    confirmed = true;
  }

  /** Whether the contents were not put back before this process read them. */
  public boolean isConfirmed() {
    return confirmed
        || (foundAt >= 0
            && context.clock().now() - foundAt > context.settings().workers().leaseS());
  }
}
