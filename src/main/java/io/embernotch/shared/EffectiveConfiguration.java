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
 * One part of the operators' settings, of the highest generation that any leader had. A leader
 * whose file is newer than the store writes what it says, and applies it once the store holds it. A
 * leader whose file is older applies what the store holds, and never writes.
 *
 * <p>Not thread-safe: it belongs to the event loop of one leader.
 *
 * @param <T> what is configured
 */
public final class EffectiveConfiguration<T> {
  private static final Logger LOG = LoggerFactory.getLogger(EffectiveConfiguration.class);

  /** The field of an entry that holds its generation. */
  private static final String GENERATION = "gen";

  private final SharedState shared;
  private final String name;
  private final T own;
  private final long ownGeneration;
  private final ObjectNode ownEntry;
  private final Function<JsonNode, T> reader;
  private final Consumer<T> onChange;
  private T value;
  private long generation;

  /**
   * Creates the configuration; {@link #load} comes before any other call.
   *
   * @param shared where it is stored
   * @param name name of the shared state entry
   * @param own what this controller's file says
   * @param ownGeneration the generation of the file; 0: the file says nothing
   * @param ownEntry what the file says, as the entry's value
   * @param reader reads an entry's value; throws {@link MalformedInputException}
   * @param onChange called when another value has come into force after {@link #load}
   */
  public EffectiveConfiguration(
      SharedState shared,
      String name,
      T own,
      long ownGeneration,
      ObjectNode ownEntry,
      Function<JsonNode, T> reader,
      Consumer<T> onChange) {
    this.shared = shared;
    this.name = name;
    this.own = own;
    this.ownGeneration = ownGeneration;
    this.ownEntry = ownEntry;
    this.reader = reader;
    this.onChange = onChange;
  }

  /** The value in force; null before {@link #load}. */
  public T value() {
    return value;
  }

  /** The generation of the value in force. */
  public long generation() {
    return generation;
  }

  /** Chooses the value in force, once the shared state has been read, and writes a newer one. */
  public void load() {
    ObjectNode stored = shared.get(name);
    value = own;
    generation = ownGeneration;
    if (stored != null) {
      useStored(stored);
    }
    if (ownGeneration > 0 && (stored == null || generation < ownGeneration)) {
      shared.put(name, ownEntry, this::useOwn);
    }
  }

  private void useOwn() {
    value = own;
    generation = ownGeneration;
    onChange.accept(value);
  }

  private void useStored(ObjectNode stored) {
    try {
      T storedValue = reader.apply(stored);
      long storedGeneration = Json.whole(stored, GENERATION);
      if (storedGeneration == ownGeneration && !storedValue.equals(own)) {
        LOG.error(
            "the operators' file differs from the store on {}, both of generation {}: the store's wins",
            name,
            storedGeneration);
      } else if (storedGeneration > ownGeneration) {
        LOG.info(
            "{} of generation {} is in force, the operators' file here is of {}",
            name,
            storedGeneration,
            ownGeneration);
      }
      value = storedValue;
      generation = storedGeneration;
    } catch (MalformedInputException e) {
      LOG.error("the store's value of {} cannot be read: {}", name, e.getMessage());
    }
  }
}
