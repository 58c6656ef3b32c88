package io.embernotch.actor;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** How long answers took since the last line about them, by kind of request. */
public final class LatencyRecorder {
  private static final long MOST_MS = 60_000;

  private final Map<String, Histogram> kinds = new TreeMap<>();

  public void record(String kind, double seconds) {
    kinds
        .computeIfAbsent(kind, k -> new Histogram(MOST_MS, 2))
        .recordValue(Math.min(MOST_MS, Math.max(0, Math.round(seconds * 1000))));
  }

  /** One line on all kinds, or null if nothing was answered; starts anew. */
  public String line() {
    StringBuilder s = new StringBuilder();
    kinds.forEach(
        (kind, h) -> {
          if (h.getTotalCount() > 0) {
            s.append(s.isEmpty() ? "" : "; ").append(kind).append(' ').append(h.getTotalCount());
            s.append(": p50 ")
                .append(h.getValueAtPercentile(50))
                .append(", p95 ")
                .append(h.getValueAtPercentile(95));
            s.append(", max ").append(h.getMaxValue()).append(" ms");
          }
          h.reset();
        });
    return s.isEmpty() ? null : s.toString();
  }
}
