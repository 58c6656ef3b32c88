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
 * What the operators' files say, of the highest generation that any leader had. A leader with a
 * newer file writes what it says, and goes by it once that is in the store; one with an older file
 * goes by what is there, and never writes.
 *
 * @param <T> what a file says
 */
public final class EffectiveConfiguration<T> {
  private static final Logger LOG = LoggerFactory.getLogger(EffectiveConfiguration.class);

  private final SharedState shared;
  private final String name;
  private final T own;
  private final long ownGeneration;
  private final ObjectNode written;
  private final Function<JsonNode, T> read;
  private final Consumer<T> changed;
  private T value;
  private long generation;

  /**
   * @param name of the fact
   * @param written what this controller's file says, as the fact's value; its field {@code gen} is
   *     the generation
   * @param changed is told when something else has come into force
   */
  public EffectiveConfiguration(
      SharedState shared,
      String name,
      T own,
      long ownGeneration,
      ObjectNode written,
      Function<JsonNode, T> read,
      Consumer<T> changed) {
    this.shared = shared;
    this.name = name;
    this.own = own;
    this.ownGeneration = ownGeneration;
    this.written = written;
    this.read = read;
    this.changed = changed;
  }

  public T value() {
    return value;
  }

  public long generation() {
    return generation;
  }

  /** The shared facts have been read. */
  public void load() {
    ObjectNode stored = shared.get(name);
    value = own;
    generation = ownGeneration;
    if (stored != null) {
      take(stored);
    }
    if (ownGeneration > 0 && (stored == null || generation < ownGeneration)) {
      shared.put(
          name,
          written,
          () -> {
            value = own;
            generation = ownGeneration;
            changed.accept(value);
          });
    }
  }

  private void take(ObjectNode stored) {
    try {
      T there = read.apply(stored);
      long since = Json.whole(stored, "gen");
      if (since == ownGeneration && !there.equals(own)) {
        LOG.error(
            "the operators' file differs from the store on {}, both of generation {}: the store's wins",
            name,
            since);
      } else if (since > ownGeneration) {
        LOG.info(
            "{} of generation {} is in force, the operators' file here is of {}",
            name,
            since,
            ownGeneration);
      }
      value = there;
      generation = since;
    } catch (MalformedInputException e) {
      LOG.error("the store's value of {} cannot be read: {}", name, e.getMessage());
    }
  }
}
