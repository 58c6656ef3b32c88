package io.embernotch.soak;

import com.fasterxml.jackson.databind.JsonNode;
import io.embernotch.codec.JobProgressCodec;
import java.util.HashSet;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Something about a job that must not be forgotten.
 *
 * @param what that it was accepted, that it has ended, or that a task of it is on some machine
 */
record Fact(String ref, String what) {
  private static final String ACCEPTED = " accepted";
  private static final String ENDED = " ended";
  private static final Set<String> FINAL_PHASES = Set.of("done", "cancelled");
  private static final Pattern JOB = Pattern.compile("\\b(j-\\d+)(?:(/\\d+) .*is (on n-\\S+))?");
  private static final Pattern ABOUT_END =
      Pattern.compile("ENDED|cancel|is not answered|as done|was done");

  /** The fact that a violation contradicts, if it comes of a loss; null if it names no job. */
  static Fact contradictedBy(String violation) {
    Matcher job = JOB.matcher(violation);
    if (!job.find()) {
      return null;
    }
    String started = job.group(2) == null ? ACCEPTED : job.group(2) + " " + job.group(3);
    return new Fact(job.group(1), ABOUT_END.matcher(violation).find() ? ENDED : started);
  }

  /** What an entry of the store states, or a write to it, or an answer about a known job. */
  static Set<Fact> in(JsonNode entry) {
    String key = entry.path("key").asText(entry.path("write").asText());
    String ref = entry.path("ref").asText(key.substring(key.indexOf('/') + 1));
    Set<Fact> facts = new HashSet<>();
    if (key.startsWith(JobProgressCodec.JOB_PREFIX) || entry.has("ref")) {
      facts.add(new Fact(ref, ACCEPTED));
    }
    boolean toldEnd = FINAL_PHASES.contains(entry.path("phase").asText());
    boolean storedEnd = key.startsWith(JobProgressCodec.SHARD) && entry.path("v").has("end");
    if (toldEnd || storedEnd) {
      facts.add(new Fact(ref, ENDED));
    }
    for (JsonNode open : entry.path("v").path("open")) {
      facts.add(new Fact(ref, "/" + open.get(0) + " on " + open.get(2).asText()));
    }
    return facts;
  }
}
