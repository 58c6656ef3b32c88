package io.embernotch.context;

import java.util.LinkedHashMap;
import java.util.Map;

/** What was used most recently, up to a number of entries. */
public final class LeastRecentlyUsed<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1L;
  private final int most;

  public LeastRecentlyUsed(int most) {
    super(64, 0.75f, true);
    this.most = most;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > most;
  }
}
