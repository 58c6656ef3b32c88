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

/** Reads the pointer to the current incarnation, one read at a time, and retries failed reads. */
final class PointerReader {
  /** Uses the name of the tracker, which this class is a part of. */
  private static final Logger LOG = LoggerFactory.getLogger(StoreIncarnationTracker.class);

  private final StoreClient store;
  private final Clock clock;
  private final Timers timers;
  private final double retryDelayS;
  private final BooleanSupplier dataLost;
  private final Consumer<StoredPointer> listener;
  private StoredPointer latest = StoredPointer.ABSENT;
  private boolean readSinceLoss;
  private boolean readInProgress;
  private boolean retryScheduled;

  /**
   * When the store began to answer all reads, in seconds of the steady clock; infinite if the last
   * read failed.
   */
  private double answeringSince = Double.POSITIVE_INFINITY;

  /**
   * @param retryDelayS seconds between a failed read and the next one
   * @param dataLost whether data is lost; the pointer is then polled
   * @param listener receives the pointer after each successful read
   */
  PointerReader(
      StoreClient store,
      Clock clock,
      Timers timers,
      double retryDelayS,
      BooleanSupplier dataLost,
      Consumer<StoredPointer> listener) {
    this.store = store;
    this.clock = clock;
    this.timers = timers;
    this.retryDelayS = retryDelayS;
    this.dataLost = dataLost;
    this.listener = listener;
  }

  /** The pointer as it was last read or written. */
  StoredPointer latest() {
    return latest;
  }

  /** Records that this node has written the pointer. */
  void recordWritten(StoreIncarnation incarnation) {
    latest = new StoredPointer(incarnation.modRevision(), incarnation);
  }

  /** Whether the pointer has been read since the last data loss was detected. */
  boolean hasReadSinceLoss() {
    return readSinceLoss;
  }

  /** Seconds for which the store has answered all reads; 0 or less if the last read failed. */
  double answeringForS() {
    return clock.now() - answeringSince;
  }

  /** Records that data is lost: earlier reads are out of date. */
  void invalidate() {
    readSinceLoss = false;
  }

  /** Reads the pointer, unless a read is in progress. */
  void read() {
    if (readInProgress) {
      return;
    }
    readInProgress = true;
    store.get(IncarnationCodec.POINTER).onComplete(this::readCompleted);
  }

  /** Schedules a read after the retry delay, unless one is scheduled. */
  void readAfterDelay() {
    if (retryScheduled) {
      return;
    }
    retryScheduled = true;
    timers.after(
        retryDelayS,
        () -> {
          retryScheduled = false;
          read();
        });
  }

  private void readCompleted(AsyncResult<VersionedEntry> result) {
    readInProgress = false;
    if (result.failed()) {
      answeringSince = Double.POSITIVE_INFINITY;
    } else {
      answeringSince = Math.min(answeringSince, clock.now());
      readSinceLoss = true;
      latest = parse(result.result());
      listener.accept(latest);
    }
    if (result.failed() || dataLost.getAsBoolean()) {
      readAfterDelay();
    }
  }

  /** Parses the pointer's entry; the result has no incarnation if the value is malformed. */
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
