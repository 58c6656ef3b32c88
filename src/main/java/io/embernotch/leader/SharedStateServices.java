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
 * What leaders hand on from term to term beside jobs: reservations, the release calendar and the
 * places of images. It is loaded before anything but live services is scheduled.
 */
final class SharedStateServices {
  private final SharedState sharedState;
  private final ReservationManager reservations;
  private final ReleaseCalendar calendar;
  private final ImageLocality imageLocality;
  private final Clock clock;

  /**
   * @param rewriteProgress has a job's progress written anew
   * @param onSuperseded called when a transaction failed on the leader key
   */
  SharedStateServices(
      ControllerContext context,
      ClusterState state,
      LeaderTerm term,
      Consumer<Job> rewriteProgress,
      Runnable onSuperseded) {
    this.clock = context.clock();
    this.sharedState =
        new SharedState(
            context, term.modRevision(), FencingTokens.base(term.epoch()), onSuperseded);
    this.reservations = new ReservationManager(context, state, sharedState);
    this.calendar = new ReleaseCalendar(context, state, sharedState, rewriteProgress);
    this.imageLocality = new ImageLocality(context, state, sharedState);
  }

  /** Loads what the store holds of it. */
  void load(List<VersionedEntry> entries) {
    sharedState.load(entries);
    reservations.load();
    calendar.load();
    imageLocality.load();
  }

  /** Stops writing. */
  void close() {
    sharedState.close();
  }

  ReservationManager reservations() {
    return reservations;
  }

  ReleaseCalendar calendar() {
    return calendar;
  }

  /** Time has passed: what is due is written. */
  void tick() {
    calendar.tick(clock.wallMs());
    imageLocality.tick(clock.now());
  }

  /** The images that a former leader knew a machine to have. */
  List<String> images(String machine) {
    return imageLocality.of(machine);
  }

  /** Adds to the answer to a poll what the calendar says of the job. */
  void describe(Job job, ObjectNode into) {
    calendar.status(job, into, clock.wallMs());
  }

  /** The entries of the shared state by name, for snapshots. */
  Map<String, ObjectNode> entries() {
    return sharedState.copy();
  }

  /** Adds reservations and the calendar to the overview. */
  void overview(ObjectNode into) {
    reservations.overview(into.putObject("reserved"));
    calendar.overview(into.putObject("calendar"), clock.wallMs());
  }
}
