package io.embernotch.calendar;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.calendar.Occurrences.Occurrence;
import io.embernotch.codec.CalendarCodec;
import io.embernotch.codec.CalendarCodec.StoredOccurrence;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Priority;
import io.embernotch.scheduling.MachineTypes;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Release;
import io.embernotch.shared.EffectiveConfiguration;
import io.embernotch.shared.SharedState;
import io.embernotch.state.ClusterState;
import java.time.Instant;
import java.time.LocalDate;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The embargo calendar: when releases come out, as the store is known to hold it, and which of
 * these occurrences each job is for. An occurrence orders nothing before it is in the store. A job
 * is for the first occurrence after its submission, by the deadline that was written first, so
 * moving an occurrence changes no job's release; once that is settled it is stored with the job.
 * The time of day decides nothing here but which days ahead are written, so controllers' clocks may
 * differ.
 *
 * <p>Not thread-safe: it belongs to the event loop of one leader.
 */
public final class ReleaseCalendar {
  private static final Logger LOG = LoggerFactory.getLogger(ReleaseCalendar.class);

  /** Name of the shared state entry with the releases that are in force. */
  private static final String RELEASES = "calendar";

  /** Days ahead of today whose occurrences are written. */
  private static final int DAYS_AHEAD = 2;

  /** Days before today whose occurrences are written. */
  private static final int DAYS_BACK = 1;

  /** Owners' estimates of run times are often wrong by half. */
  private static final double ESTIMATE_MARGIN = 1.5;

  /** Live services need more headroom within so many boot times before their release. */
  private static final double NEAR_BOOT_TIMES = 3;

  private static final double MS_PER_S = 1000.0;

  private final ClusterState state;
  private final Consumer<Job> onSettled;
  private final EffectiveConfiguration<List<Release>> releases;
  private final OccurrenceStore occurrences;
  private final ReleaseProgress progress;

  /**
   * Creates the calendar of one leader; {@link #load} comes before any other call.
   *
   * @param context the operators' settings
   * @param state the cluster, whose jobs' releases and deadlines are set
   * @param shared where the calendar is stored
   * @param onSettled called with each job whose release has been settled: it is to be written with
   *     the job
   */
  public ReleaseCalendar(
      ControllerContext context, ClusterState state, SharedState shared, Consumer<Job> onSettled) {
    this.state = state;
    this.onSettled = onSettled;
    this.occurrences = new OccurrenceStore(shared);
    this.progress = new ReleaseProgress(state);
    OperatorSettings.Calendar own = context.operatorSettings().calendar();
    this.releases =
        new EffectiveConfiguration<>(
            shared,
            RELEASES,
            own.releases(),
            own.generation(),
            CalendarCodec.writeReleases(own.generation(), own.releases()),
            CalendarCodec::readReleases,
            changed -> {});
  }

  /** Takes over the calendar, once the shared state has been read. */
  public void load() {
    releases.load();
    occurrences.refresh();
  }

  private boolean isEmpty() {
    return releases.value().isEmpty() && occurrences.isEmpty();
  }

  /**
   * Has the occurrences of the days around today written, and the results of those that are over.
   * Called regularly.
   *
   * @param wallMs the time of day
   */
  public void tick(long wallMs) {
    if (isEmpty()) {
      return;
    }
    occurrences.refresh();
    Instant now = Instant.ofEpochMilli(wallMs);
    for (Release release : releases.value()) {
      LocalDate today = now.atZone(release.zone()).toLocalDate();
      LocalDate last = today.plusDays(DAYS_AHEAD);
      for (LocalDate date = today.minusDays(DAYS_BACK);
          !date.isAfter(last);
          date = date.plusDays(1)) {
        Occurrences.on(release, date).ifPresent(this::write);
      }
    }
    // A copy, since a result is written at once, in an order that does not vary from run to run.
    for (Map.Entry<String, StoredOccurrence> entry : new TreeMap<>(occurrences.all()).entrySet()) {
      if (!entry.getValue().over() && wallMs > entry.getValue().deadlineMs()) {
        writeResult(entry.getKey(), entry.getValue());
      }
    }
  }

  private void write(Occurrence occurrence) {
    String name = occurrence.name();
    StoredOccurrence stored = occurrences.get(name);
    long atMs = occurrence.at().toEpochMilli();
    boolean upToDate =
        stored != null
            && (stored.generation() >= releases.generation()
                || (stored.deadlineMs() == atMs && stored.lifted() == occurrence.lifted()));
    if (upToDate || occurrences.pending(name) || (stored != null && stored.over())) {
      return;
    }
    long firstMs = stored == null ? atMs : stored.firstDeadlineMs();
    occurrences.put(
        name,
        new StoredOccurrence(
            releases.generation(), atMs, firstMs, occurrence.lifted(), 0, 0, false),
        () ->
            LOG.info(
                "release {}: {}",
                name,
                occurrence.lifted() ? "lifted" : "due at " + occurrence.at()));
  }

  private void writeResult(String name, StoredOccurrence stored) {
    if (occurrences.pending(name)) {
      return;
    }
    int inTime = progress.doneInTime(name);
    int jobs = inTime + progress.openJobs(name);
    occurrences.put(
        name,
        new StoredOccurrence(
            stored.generation(),
            stored.deadlineMs(),
            stored.firstDeadlineMs(),
            stored.lifted(),
            jobs,
            inTime,
            true),
        () -> LOG.info("release {} is out: {} of {} jobs were done in time", name, inTime, jobs));
  }

  /**
   * Settles the release of new jobs, and sets the deadline and the remaining run time of all.
   * Called before each plan.
   *
   * @param wallMs the time of day
   */
  public void apply(long wallMs) {
    if (isEmpty()) {
      return;
    }
    occurrences.refresh();
    for (Job job : state.jobs.values()) {
      if (job.release == null
          && job.finalPhase == null
          && job.spec.priority() != Priority.PRODUCTION) {
        settle(job);
      }
      StoredOccurrence occurrence = occurrences.get(job.release);
      job.releaseDeadlineMs =
          occurrence == null || occurrence.lifted()
              ? Long.MAX_VALUE
              : occurrence.deadlineMs() - leadMs(job);
      job.remainingRunMs = Math.round(remainingS(job) * MS_PER_S);
      if (occurrence != null) {
        recordProgress(job, occurrence, wallMs);
      }
    }
  }

  private void recordProgress(Job job, StoredOccurrence occurrence, long wallMs) {
    if (job.finalPhase == JobPhase.DONE && job.endedMs <= occurrence.deadlineMs()) {
      progress.recordDoneInTime(job);
    }
    if (job.finalPhase == null
        && !occurrence.lifted()
        && !occurrence.over()
        && ReleaseProgress.isLate(job, wallMs)
        && progress.recordAtRisk(job)) {
      LOG.info(
          "release {} is at risk: {} needs {} s more, {} s are left",
          job.release,
          job.spec.ref(),
          job.remainingRunMs / 1000,
          (job.releaseDeadlineMs - wallMs) / 1000);
    }
  }

  private long leadMs(Job job) {
    String id = job.release.substring(0, job.release.indexOf(Occurrence.SEPARATOR));
    return Math.round(
        MS_PER_S
            * releases.value().stream()
                .filter(release -> release.id().equals(id))
                .mapToDouble(Release::leadS)
                .findFirst()
                .orElse(0));
  }

  /**
   * Chooses the first occurrence after the job's submission, of the first release that orders it.
   */
  private void settle(Job job) {
    for (Release release : releases.value()) {
      if (release.orders(job.spec)) {
        firstOccurrence(release, job.submittedMs)
            .ifPresent(
                name -> {
                  job.release = name;
                  onSettled.accept(job);
                });
        return;
      }
    }
  }

  private Optional<String> firstOccurrence(Release release, long afterMs) {
    String first = null;
    long firstMs = Long.MAX_VALUE;
    for (Map.Entry<String, StoredOccurrence> entry : occurrences.all().entrySet()) {
      StoredOccurrence occurrence = entry.getValue();
      if (Occurrence.isOf(entry.getKey(), release)
          && occurrence.firstDeadlineMs() > afterMs
          && occurrence.firstDeadlineMs() < firstMs
          && !occurrence.lifted()
          && !Occurrence.isOnSkippedDate(entry.getKey(), release)) {
        first = entry.getKey();
        firstMs = occurrence.firstDeadlineMs();
      }
    }
    return Optional.ofNullable(first);
  }

  /** Seconds that the job still needs once it starts: to run, and to fetch its image. */
  private double remainingS(Job job) {
    double estimateS = ESTIMATE_MARGIN * Math.max(job.spec.expectS(), 0);
    double runS = job.meanS() > 0 ? Math.max(job.meanS(), estimateS / ESTIMATE_MARGIN) : estimateS;
    double fetchS = MachineTypes.shortestFetchS(state.types.values(), job.spec);
    return runS + (job.openAttempts.isEmpty() ? fetchS : 0);
  }

  /**
   * Whether headroom for a live service is needed earlier than usual, since a release of its is
   * near.
   *
   * @param sample a replica of the service
   * @param wallMs the time of day
   */
  public boolean isReleaseNear(JobSpec sample, long wallMs) {
    if (sample.priority() != Priority.PRODUCTION) {
      return false;
    }
    double bootS = MachineTypes.shortestBootS(state.types.values(), sample);
    for (Release release : releases.value()) {
      if (release.orders(sample) && isDueWithin(NEAR_BOOT_TIMES * bootS, release, wallMs)) {
        return true;
      }
    }
    return false;
  }

  private boolean isDueWithin(double seconds, Release release, long wallMs) {
    for (Map.Entry<String, StoredOccurrence> entry : occurrences.all().entrySet()) {
      StoredOccurrence occurrence = entry.getValue();
      double leftS = (occurrence.deadlineMs() - wallMs) / MS_PER_S - release.leadS();
      if (Occurrence.isOf(entry.getKey(), release)
          && !occurrence.lifted()
          && leftS > 0
          && leftS < seconds) {
        return true;
      }
    }
    return false;
  }

  /** Adds what a poll reports of the job's release; nothing if it is for none. */
  public void status(Job job, ObjectNode into, long wallMs) {
    StoredOccurrence occurrence = occurrences.get(job.release);
    if (occurrence == null) {
      return;
    }
    into.put("release", job.release);
    if (occurrence.lifted()) {
      into.put("lifted", true);
      return;
    }
    long slackMs = job.releaseDeadlineMs - wallMs - job.remainingRunMs;
    into.put("deadline", Instant.ofEpochMilli(occurrence.deadlineMs()).toString())
        .put("slack_s", Math.floorDiv(slackMs, 1000))
        .put("in_time", slackMs >= 0);
  }

  /** Adds what is coming out, and the results of what is out, for operators. */
  public void overview(ObjectNode into, long wallMs) {
    into.put("generation", releases.generation());
    ArrayNode list = into.putArray("releases");
    occurrences
        .all()
        .forEach((name, occurrence) -> addOverview(list.addObject(), name, occurrence, wallMs));
  }

  private void addOverview(ObjectNode into, String name, StoredOccurrence occurrence, long wallMs) {
    into.put("release", name)
        .put("deadline", Instant.ofEpochMilli(occurrence.deadlineMs()).toString())
        .put("lifted", occurrence.lifted());
    if (occurrence.over()) {
      into.put("jobs", occurrence.jobs()).put("in_time", occurrence.inTime());
      return;
    }
    into.put("jobs", progress.openJobs(name) + progress.doneInTime(name))
        .put("at_risk", progress.lateJobs(name, wallMs));
  }
}
