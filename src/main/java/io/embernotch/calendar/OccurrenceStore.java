package io.embernotch.calendar;

import io.embernotch.codec.CalendarCodec;
import io.embernotch.codec.CalendarCodec.StoredOccurrence;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.shared.SharedState;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The occurrences of releases as the store is known to hold them, by RELEASE/DATE. */
final class OccurrenceStore {
  /** Logs as the calendar, of which this is a part. */
  private static final Logger LOG = LoggerFactory.getLogger(ReleaseCalendar.class);

  /** Prefix of the entries' names; RELEASE/DATE follows. */
  private static final String PREFIX = "release/";

  private final SharedState shared;
  private final Map<String, StoredOccurrence> occurrences = new TreeMap<>();

  /** The version of the shared state that {@link #occurrences} was read from. */
  private long readVersion = -1;

  OccurrenceStore(SharedState shared) {
    this.shared = shared;
  }

  /** Reads the entries if any of the shared state has changed; malformed ones are left out. */
  void refresh() {
    if (readVersion == shared.changeCounter()) {
      return;
    }
    readVersion = shared.changeCounter();
    occurrences.clear();
    shared
        .storedValues(PREFIX)
        .forEach(
            (name, value) -> {
              try {
                occurrences.put(name.substring(PREFIX.length()), CalendarCodec.read(value));
              } catch (MalformedInputException e) {
                LOG.error("{} can't be read: {}", name, e.getMessage());
              }
            });
  }

  /** All occurrences as of the last {@link #refresh}, by RELEASE/DATE in that order. */
  Map<String, StoredOccurrence> all() {
    return Collections.unmodifiableMap(occurrences);
  }

  boolean isEmpty() {
    return occurrences.isEmpty();
  }

  /** One occurrence as of the last {@link #refresh}; null if it is not stored, or for null. */
  StoredOccurrence get(String name) {
    return name == null ? null : occurrences.get(name);
  }

  /** Whether an occurrence is being written. */
  boolean pending(String name) {
    return shared.hasPendingChange(PREFIX + name);
  }

  /** Has an occurrence written; {@code durable} runs once the store holds it. */
  void put(String name, StoredOccurrence occurrence, Runnable durable) {
    shared.put(PREFIX + name, CalendarCodec.write(occurrence), durable);
  }
}
