package io.embernotch.incarnation;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.model.StoreIncarnation;
import io.embernotch.store.StoreClient;
import io.embernotch.store.VersionedEntry;
import io.vertx.core.AsyncResult;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the pointer to the present incarnation, one read at a time, and again if that fails. */
final class PointerReader {
  /** Logs under the name of the tracker, of which this class is a part. */
  private static final Logger LOG = LoggerFactory.getLogger(StoreIncarnationTracker.class);

  private final StoreClient store;
  private final Clock clock;
  private final Timers timers;
  private final double retryS;
  private final BooleanSupplier lost;
  private final Consumer<StoredPointer> listener;
  private StoredPointer latest = StoredPointer.ABSENT;
  private boolean readSinceLoss;
  private boolean reading;
  private boolean retryScheduled;

  /** When the store began to answer these reads again; never if the last one failed. */
  private double answersSince = Double.POSITIVE_INFINITY;

  /**
   * @param lost whether data is lost; the pointer is then read again and again
   * @param listener receives what each read found
   */
  PointerReader(
      StoreClient store,
      Clock clock,
      Timers timers,
      double retryS,
      BooleanSupplier lost,
      Consumer<StoredPointer> listener) {
    this.store = store;
    this.clock = clock;
    this.timers = timers;
    this.retryS = retryS;
    this.lost = lost;
    this.listener = listener;
  }

  /** What was last read or written. */
  StoredPointer latest() {
    return latest;
  }

  /** This node has written the pointer. */
  void written(StoreIncarnation incarnation) {
    latest = new StoredPointer(incarnation.modRevision(), incarnation);
  }

  /** Whether the pointer has been read since data was last seen to be lost. */
  boolean hasReadSinceLoss() {
    return readSinceLoss;
  }

  /** Seconds for which the store has answered all reads; not above 0 if the last one failed. */
  double answersForS() {
    return clock.now() - answersSince;
  }

  /** Data was seen to be lost: what was read before does not count. */
  void invalidate() {
    readSinceLoss = false;
  }

  /** Reads the pointer, unless a read is under way. */
  void read() {
    if (reading) {
      return;
    }
    reading = true;
    store.get(IncarnationCodec.POINTER).onComplete(this::readCompleted);
  }

  /** Reads the pointer after the time for a retry. */
  void readLater() {
    if (retryScheduled) {
      return;
    }
    retryScheduled = true;
    timers.after(
        retryS,
        () -> {
          retryScheduled = false;
          read();
        });
  }

  private void readCompleted(AsyncResult<VersionedEntry> result) {
    reading = false;
    if (result.failed()) {
      answersSince = Double.POSITIVE_INFINITY;
    } else {
      answersSince = Math.min(answersSince, clock.now());
      readSinceLoss = true;
      latest = parse(result.result());
      listener.accept(latest);
    }
    if (result.failed() || lost.getAsBoolean()) {
      readLater();
    }
  }

  /** The pointer that an entry holds; without an incarnation if it can't be read. */
  static StoredPointer parse(VersionedEntry entry) {
    StoreIncarnation incarnation = null;
    try {
      incarnation =
          entry.present() ? IncarnationCodec.read(entry.value(), entry.modRevision()) : null;
    } catch (MalformedInputException e) {
      LOG.warn("the store incarnation key is unreadable: {}", e.getMessage());
    }
    return new StoredPointer(entry.modRevision(), incarnation);
  }
}
