package io.embernotch.shared;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.codec.MalformedInputException;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One part of the operators' settings, in the highest generation that any leader has read. If the
 * leader's operator file is newer than the stored value, the leader writes the file's value to the
 * store and applies it once it is stored. If the file is older, the leader applies the stored value
 * and writes nothing.
 *
 * <p>Not thread-safe: confined to the leader's event loop.
 *
 * @param <T> type of the configuration
 */
public final class EffectiveConfiguration<T> {
  private static final Logger LOG = LoggerFactory.getLogger(EffectiveConfiguration.class);

  /** The field of an entry that holds its generation. */
  private static final String GENERATION = "gen";

  private final SharedState shared;
  private final String name;
  private final T localValue;
  private final long localGeneration;
  private final ObjectNode localEntry;
  private final Function<JsonNode, T> reader;
  private final Consumer<T> onChange;
  private T value;
  private long generation;

  /**
   * Creates the configuration. Callers must call {@link #load} before any other method.
   *
   * @param shared the shared state that stores the configuration
   * @param name name of the shared state entry
   * @param localValue the value in this controller's operator file
   * @param localGeneration the generation in the file; 0 if the file has none
   * @param localEntry the file's value, encoded as the shared state entry
   * @param reader decodes an entry; throws {@link MalformedInputException}
   * @param onChange receives the new effective value whenever it changes after {@link #load}
   */
  public EffectiveConfiguration(
      SharedState shared,
      String name,
      T localValue,
      long localGeneration,
      ObjectNode localEntry,
      Function<JsonNode, T> reader,
      Consumer<T> onChange) {
    this.shared = shared;
    this.name = name;
    this.localValue = localValue;
    this.localGeneration = localGeneration;
    this.localEntry = localEntry;
    this.reader = reader;
    this.onChange = onChange;
  }

  /** The effective value; null before {@link #load}. */
  public T value() {
    return value;
  }

  /** The generation of the effective value. */
  public long generation() {
    return generation;
  }

  /**
   * Selects the effective value, and writes the operator file's value if it is newer. Call after
   * the shared state is loaded.
   */
  public void load() {
    ObjectNode stored = shared.get(name);
    value = localValue;
    generation = localGeneration;
    if (stored != null) {
      applyStored(stored);
    }
    if (localGeneration > 0 && (stored == null || generation < localGeneration)) {
      shared.put(name, localEntry, this::applyLocal);
    }
  }

  private void applyLocal() {
    value = localValue;
    generation = localGeneration;
    onChange.accept(value);
  }

  private void applyStored(ObjectNode stored) {
    try {
      T storedValue = reader.apply(stored);
      long storedGeneration = Json.whole(stored, GENERATION);
      if (storedGeneration == localGeneration && !storedValue.equals(localValue)) {
        LOG.error(
            "{}: operator file and store differ in generation {}; using the stored value",
            name,
            storedGeneration);
      } else if (storedGeneration > localGeneration) {
        LOG.info(
            "{}: using the stored generation {}, the local operator file has generation {}",
            name,
            storedGeneration,
            localGeneration);
      }
      value = storedValue;
      generation = storedGeneration;
    } catch (MalformedInputException e) {
      LOG.error("the store's value of {} cannot be read: {}", name, e.getMessage());
    }
  }
}
