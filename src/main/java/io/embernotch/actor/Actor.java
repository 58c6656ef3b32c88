package io.embernotch.actor;

import java.util.ArrayDeque;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns some state and is spoken to by messages only. All actors of a process share one loop, so a
 * mailbox needs no locks; a message that fails is logged and costs that message alone.
 */
public abstract class Actor<M> {
  private static final Logger LOG = LoggerFactory.getLogger(Actor.class);

  private final Executor loop;
  private final ArrayDeque<M> mailbox = new ArrayDeque<>();
  private boolean scheduled;

  protected Actor(Executor loop) {
    this.loop = loop;
  }

  /** Puts a message into the mailbox; it is received in order, after the caller has returned. */
  public final void tell(M message) {
    mailbox.add(message);
    if (!scheduled) {
      scheduled = true;
      loop.execute(this::drain);
    }
  }

  private void drain() {
    scheduled = false;
    for (M message = mailbox.poll(); message != null; message = mailbox.poll()) {
      try {
        receive(message);
      } catch (RuntimeException e) {
        LOG.error(
            "{} failed on {}", getClass().getSimpleName(), message.getClass().getSimpleName(), e);
      }
    }
  }

  protected abstract void receive(M message);
}
