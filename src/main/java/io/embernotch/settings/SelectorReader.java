package io.embernotch.settings;

import io.embernotch.model.JobShape;
import io.embernotch.model.Priority;
import io.embernotch.settings.proto.OperatorFile;
import java.util.ArrayList;
import java.util.List;

/** Reads and checks the selectors of the operators' file. */
final class SelectorReader {
  private static final Selector ANY = new Selector(null, null, null, null);

  private SelectorReader() {}

  /**
   * Reads a list of selectors.
   *
   * @param field the list's field, for messages
   * @throws SettingsException if the list is empty, or one of them selects everything
   */
  static List<Selector> read(String field, List<OperatorFile.Work> works) {
    Checks.require(!works.isEmpty(), field + ": missing");
    List<Selector> selectors = new ArrayList<>();
    for (int i = 0; i < works.size(); i++) {
      Selector selector = selector(works.get(i));
      Checks.require(!selector.equals(ANY), field + "[" + i + "]: names no work");
      selectors.add(selector);
    }
    return selectors;
  }

  private static Selector selector(OperatorFile.Work work) {
    return new Selector(
        work.hasPriority() ? priority(work.getPriority()) : null,
        work.hasShape() ? JobShape.valueOf(work.getShape().name()) : null,
        work.hasTeam() ? work.getTeam() : null,
        work.hasJobClass() ? work.getJobClass() : null);
  }

  private static Priority priority(OperatorFile.Priority priority) {
    return switch (priority) {
      case IDLE -> Priority.LOW;
      case STANDARD -> Priority.NORMAL;
      case HIGH -> Priority.HIGH;
      case LIVE -> Priority.PRODUCTION;
    };
  }
}
