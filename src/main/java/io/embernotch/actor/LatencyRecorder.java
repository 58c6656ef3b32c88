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
    StringBuilder line = new StringBuilder();
    kinds.forEach(
        (kind, histogram) -> {
          if (histogram.getTotalCount() > 0) {
            line.append(line.isEmpty() ? "" : "; ")
                .append(kind)
                .append(' ')
                .append(histogram.getTotalCount());
            line.append(": p50 ")
                .append(histogram.getValueAtPercentile(50))
                .append(", p95 ")
                .append(histogram.getValueAtPercentile(95));
            line.append(", max ").append(histogram.getMaxValue()).append(" ms");
          }
          histogram.reset();
        });
    return line.isEmpty() ? null : line.toString();
  }
}
