package io.embernotch.context;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that evicts its least recently used entry when it grows beyond its maximum size. Not
 * thread-safe.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
public final class LeastRecentlyUsed<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1L;
  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maxEntries;

  /**
   * @param maxEntries maximum number of entries; one more evicts the least recently used entry
   */
  public LeastRecentlyUsed(int maxEntries) {
    super(INITIAL_CAPACITY, LOAD_FACTOR, true);
    this.maxEntries = maxEntries;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}
