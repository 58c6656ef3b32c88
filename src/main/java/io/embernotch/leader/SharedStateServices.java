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
 * State other than jobs that is passed from term to term: reservations, the release calendar, and
 * the locations of images. It is loaded before anything but live services is scheduled.
 */
final class SharedStateServices {
  private final SharedState sharedState;
  private final ReservationManager reservations;
  private final ReleaseCalendar calendar;
  private final ImageLocality imageLocality;
  private final Clock clock;

  /**
   * @param rewriteProgress writes a job's progress again
   * @param onSuperseded called when a transaction failed its condition on the leader key
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

  /** Loads the shared state entries of the store. */
  void load(List<VersionedEntry> entries) {
    sharedState.load(entries);
    reservations.load();
    calendar.load();
    imageLocality.load();
  }

  /** Stops writing to the store. */
  void close() {
    sharedState.close();
  }

  ReservationManager reservations() {
    return reservations;
  }

  ReleaseCalendar calendar() {
    return calendar;
  }

  /** Writes the changes that are due. */
  void tick() {
    calendar.tick(clock.wallMs());
    imageLocality.tick(clock.now());
  }

  /**
   * Names of the images that the machine had according to a former leader; empty if none are known.
   */
  List<String> lastKnownImages(String machine) {
    return imageLocality.of(machine);
  }

  /**
   * Adds the fields of the release calendar to the status of a job.
   *
   * @param into the body of the response to a poll
   */
  void describe(Job job, ObjectNode into) {
    calendar.status(job, into, clock.wallMs());
  }

  /** The shared state entries by name, for snapshots. */
  Map<String, ObjectNode> entries() {
    return sharedState.copyWithPendingChanges();
  }

  /** Adds reservations and the calendar to the overview. */
  void overview(ObjectNode into) {
    reservations.overview(into.putObject("reserved"));
    calendar.overview(into.putObject("calendar"), clock.wallMs());
  }
}
