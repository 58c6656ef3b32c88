package io.embernotch.actor;

import java.util.ArrayDeque;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns some state and receives messages. All actors of a process share one loop, so a mailbox needs
 * no locks; a message that fails is logged and costs that message alone.
 *
 * @param <M> type of its messages
 */
public abstract class Actor<M> {
  private static final Logger LOG = LoggerFactory.getLogger(Actor.class);

  private final Executor loop;
  private final ArrayDeque<M> mailbox = new ArrayDeque<>();
  private boolean scheduled;

  /**
   * @param loop runs tasks on the loop that owns the actor
   */
  protected Actor(Executor loop) {
    this.loop = loop;
  }

  /**
   * Puts a message into the mailbox; it is received in order, after the caller has returned. To be
   * called on the actor's loop.
   */
  public final void send(M message) {
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
        // A fault in one message must not stop those after it.
        LOG.error(
            "{} failed on {}", getClass().getSimpleName(), message.getClass().getSimpleName(), e);
      }
    }
  }

  /** Handles a message, on the actor's loop. */
  protected abstract void receive(M message);
}
