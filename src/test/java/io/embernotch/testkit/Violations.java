package io.embernotch.testkit;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The violations of invariants that were seen, each once. */
final class Violations {
  private final Set<String> seen = new LinkedHashSet<>();

  void report(String violation) {
    seen.add(violation);
  }

  /** All of them in the order in which they were seen first. */
  List<String> all() {
    return new ArrayList<>(seen);
  }
}
