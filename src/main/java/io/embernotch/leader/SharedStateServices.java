package io.embernotch.leader;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.actor.Clock;
import io.embernotch.agents.FencingTokens;
import io.embernotch.calendar.ReleaseCalendar;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Job;
import io.embernotch.reservation.ReservationManager;
import io.embernotch.shared.SharedState;
import io.embernotch.state.ClusterState;
import io.embernotch.store.VersionedEntry;
import io.embernotch.weights.ImageLocality;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * What a term takes over beside jobs, and hands on: read before anything but live services is
 * planned.
 */
final class SharedStateServices {
  private final SharedState shared;
  private final ReservationManager holds;
  private final ReleaseCalendar calendar;
  private final ImageLocality weights;
  private final Clock clock;

  /** {@code rewritten} has a job's progress written anew. */
  SharedStateServices(
      ControllerContext context,
      ClusterState state,
      long epoch,
      long modRevision,
      Consumer<Job> rewritten,
      Runnable deposed) {
    this.clock = context.clock();
    this.shared = new SharedState(context, modRevision, FencingTokens.base(epoch), deposed);
    this.holds = new ReservationManager(context, state, shared);
    this.calendar = new ReleaseCalendar(context, state, shared, rewritten);
    this.weights = new ImageLocality(context, state, shared);
  }

  void load(List<VersionedEntry> entries) {
    shared.load(entries);
    holds.load();
    calendar.load();
    weights.load();
  }

  void close() {
    shared.close();
  }

  ReservationManager holds() {
    return holds;
  }

  ReleaseCalendar calendar() {
    return calendar;
  }

  void tick() {
    calendar.tick(clock.wallMs());
    weights.tick(clock.now());
  }

  /** Images that a former leader knew a machine to have. */
  List<String> images(String machine) {
    return weights.of(machine);
  }

  /** What a poll tells of a job beyond its progress. */
  void describe(Job job, ObjectNode into) {
    calendar.status(job, into, clock.wallMs());
  }

  /** Facts by name, for copies. */
  Map<String, ObjectNode> copy() {
    return shared.copy();
  }

  ObjectNode overview(ObjectNode into) {
    holds.overview(into.putObject("reserved"));
    calendar.overview(into.putObject("calendar"), clock.wallMs());
    return into;
  }
}
