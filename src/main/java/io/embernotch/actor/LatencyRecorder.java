package io.embernotch.actor;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Records latencies by kind, and sums them up in a line for the log. Not thread-safe. */
public final class LatencyRecorder {
  private static final long MAX_MS = 60_000;
  private static final int MS_PER_S = 1000;

  /** Significant digits of recorded latencies. */
  private static final int PRECISION = 2;

  private final Map<String, Histogram> histograms = new TreeMap<>();

  /** Records a latency; one above a minute counts as a minute. */
  public void record(String kind, double seconds) {
    histograms
        .computeIfAbsent(kind, k -> new Histogram(MAX_MS, PRECISION))
        .recordValue(Math.min(MAX_MS, Math.max(0, Math.round(seconds * MS_PER_S))));
  }

  /** One line on all kinds since the last one; null if nothing was recorded. */
  public String line() {
    StringBuilder line = new StringBuilder();
    histograms.forEach(
        (kind, histogram) -> {
          if (histogram.getTotalCount() > 0) {
            line.append(line.isEmpty() ? "" : "; ");
            append(line, kind, histogram);
          }
          histogram.reset();
        });
    return line.isEmpty() ? null : line.toString();
  }

  private static void append(StringBuilder line, String kind, Histogram histogram) {
    line.append(kind).append(' ').append(histogram.getTotalCount());
    line.append(": p50 ").append(histogram.getValueAtPercentile(50));
    line.append(", p95 ").append(histogram.getValueAtPercentile(95));
    line.append(", max ").append(histogram.getMaxValue()).append(" ms");
  }
}
