package io.embernotch.calendar;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.calendar.Occurrences.Occurrence;
import io.embernotch.codec.CalendarCodec;
import io.embernotch.codec.CalendarCodec.StoredOccurrence;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import io.embernotch.model.Priority;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Release;
import io.embernotch.shared.EffectiveConfiguration;
import io.embernotch.shared.SharedState;
import io.embernotch.state.ClusterState;
import java.time.Instant;
import java.time.LocalDate;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The embargo calendar: which releases come out when, as the store is known to hold it, and which
 * of them each job is for. A coming out orders nothing before it is in the store. A job is for the
 * first one after its submission, by the deadline that was written first, so moving it changes no
 * job's release; once that is settled it is kept with the job. The time of day decides nothing here
 * but which days ahead are written, so controllers' clocks may differ.
 */
public final class ReleaseCalendar {
  private static final Logger LOG = LoggerFactory.getLogger(ReleaseCalendar.class);

  private static final String CALENDAR = "calendar";
  private static final String PREFIX = "release/";

  /** Days ahead, and back, that are written. */
  private static final int DAYS_AHEAD = 2;

  private static final int DAYS_BACK = 1;

  /** Owners' estimates are often wrong by half. */
  private static final double DOUBT = 1.5;

  /** Live services of a release that is nearer than so many boot times need more room. */
  private static final double NEAR_BOOTS = 3;

  private final ControllerContext context;
  private final ClusterState state;
  private final SharedState shared;
  private final Consumer<Job> settled;
  private final EffectiveConfiguration<List<Release>> inForce;
  private final Map<String, StoredOccurrence> kept = new TreeMap<>();
  private final Map<String, Set<String>> served = new HashMap<>();
  private final Map<String, Set<String>> atRisk = new HashMap<>();
  private long keptOf = -1;

  /**
   * {@code settled} is told of each job whose release has been settled: it is to be written with
   * the job.
   */
  public ReleaseCalendar(
      ControllerContext context, ClusterState state, SharedState shared, Consumer<Job> settled) {
    this.context = context;
    this.state = state;
    this.shared = shared;
    this.settled = settled;
    OperatorSettings.Calendar own = context.operator().calendar();
    this.inForce =
        new EffectiveConfiguration<>(
            shared,
            CALENDAR,
            own.releases(),
            own.generation(),
            CalendarCodec.writeReleases(own.generation(), own.releases()),
            CalendarCodec::readReleases,
            r -> {});
  }

  /** The shared facts have been read. */
  public void load() {
    inForce.load();
    refresh();
  }

  private void refresh() {
    if (keptOf == shared.edition()) {
      return;
    }
    keptOf = shared.edition();
    kept.clear();
    shared
        .all(PREFIX)
        .forEach(
            (name, value) -> {
              try {
                kept.put(name.substring(PREFIX.length()), CalendarCodec.read(value));
              } catch (MalformedInputException e) {
                LOG.error("{} can't be read: {}", name, e.getMessage());
              }
            });
  }

  /** Time goes by: days that come into sight are written, and what came of those that are over. */
  public void tick(long wallMs) {
    if (inForce.value().isEmpty() && kept.isEmpty()) {
      return;
    }
    refresh();
    Instant now = Instant.ofEpochMilli(wallMs);
    for (Release r : inForce.value()) {
      LocalDate today = now.atZone(r.zone()).toLocalDate();
      for (LocalDate d = today.minusDays(DAYS_BACK);
          !d.isAfter(today.plusDays(DAYS_AHEAD));
          d = d.plusDays(1)) {
        Occurrence o = Occurrences.on(r, d);
        if (o != null) {
          write(o);
        }
      }
    }
    for (Map.Entry<String, StoredOccurrence> e : Map.copyOf(kept).entrySet()) {
      if (!e.getValue().over() && wallMs > e.getValue().deadlineMs()) {
        close(e.getKey(), e.getValue());
      }
    }
  }

  private void write(Occurrence o) {
    String name = PREFIX + o.name();
    StoredOccurrence there = kept.get(o.name());
    long at = o.at().toEpochMilli();
    boolean same =
        there != null
            && (there.generation() >= inForce.generation()
                || (there.deadlineMs() == at && there.lifted() == o.lifted()));
    if (same || shared.pending(name) || (there != null && there.over())) {
      return;
    }
    long first = there == null ? at : there.firstDeadlineMs();
    shared.put(
        name,
        CalendarCodec.write(
            new StoredOccurrence(inForce.generation(), at, first, o.lifted(), 0, 0, false)),
        () -> LOG.info("release {}: {}", o.name(), o.lifted() ? "lifted" : "due at " + o.at()));
  }

  private void close(String occurrence, StoredOccurrence k) {
    if (shared.pending(PREFIX + occurrence)) {
      return;
    }
    int inTime = served.getOrDefault(occurrence, Set.of()).size();
    int all = inTime;
    for (Job job : state.jobs.values()) {
      all += occurrence.equals(job.release) && job.finalPhase == null ? 1 : 0;
    }
    StoredOccurrence over =
        new StoredOccurrence(
            k.generation(), k.deadlineMs(), k.firstDeadlineMs(), k.lifted(), all, inTime, true);
    int of = all;
    shared.put(
        PREFIX + occurrence,
        CalendarCodec.write(over),
        () ->
            LOG.info("release {} is out: {} of {} jobs were done in time", occurrence, inTime, of));
  }

  /** Settles what new jobs are for, and by when each is to start; before each plan. */
  public void apply(long wallMs) {
    if (inForce.value().isEmpty() && kept.isEmpty()) {
      return;
    }
    refresh();
    for (Job job : state.jobs.values()) {
      if (job.release == null
          && job.finalPhase == null
          && job.spec.priority() != Priority.PRODUCTION) {
        settle(job);
      }
      StoredOccurrence k = job.release == null ? null : kept.get(job.release);
      job.releaseDeadlineMs =
          k == null || k.lifted() ? Long.MAX_VALUE : k.deadlineMs() - leadMs(job);
      job.remainingRunMs = Math.round(restS(job) * 1000);
      if (k != null && job.finalPhase == JobPhase.DONE && job.endedMs <= k.deadlineMs()) {
        served.computeIfAbsent(job.release, x -> new HashSet<>()).add(job.spec.ref());
      }
      if (k != null
          && job.finalPhase == null
          && !k.lifted()
          && !k.over()
          && wallMs + job.remainingRunMs > job.releaseDeadlineMs
          && atRisk.computeIfAbsent(job.release, x -> new HashSet<>()).add(job.spec.ref())) {
        LOG.info(
            "release {} is at risk: {} needs {} s more, {} s are left",
            job.release,
            job.spec.ref(),
            job.remainingRunMs / 1000,
            (job.releaseDeadlineMs - wallMs) / 1000);
      }
    }
  }

  private long leadMs(Job job) {
    String id = job.release.substring(0, job.release.indexOf('/'));
    return Math.round(
        1000
            * inForce.value().stream()
                .filter(r -> r.id().equals(id))
                .mapToDouble(Release::leadS)
                .findFirst()
                .orElse(0));
  }

  private void settle(Job job) {
    for (Release r : inForce.value()) {
      if (!r.orders(job.spec)) {
        continue;
      }
      String best = null;
      long bestMs = Long.MAX_VALUE;
      for (Map.Entry<String, StoredOccurrence> e : kept.entrySet()) {
        StoredOccurrence k = e.getValue();
        if (e.getKey().startsWith(r.id() + "/")
            && k.firstDeadlineMs() > job.submittedMs
            && k.firstDeadlineMs() < bestMs
            && !k.lifted()) {
          best = e.getKey();
          bestMs = k.firstDeadlineMs();
        }
      }
      if (best != null) {
        job.release = best;
        settled.accept(job);
      }
      return;
    }
  }

  /**
   * Seconds that the job still needs once it starts: its run, estimates being what they are, and
   * its image's fetch.
   */
  private double restS(Job job) {
    double run = DOUBT * Math.max(job.spec.expectS(), 0);
    run = job.meanS() > 0 ? Math.max(job.meanS(), run / DOUBT) : run;
    double fetch =
        state.types.values().stream()
            .filter(type -> type.fits(job.spec))
            .mapToDouble(type -> type.fetchS(job.spec))
            .min()
            .orElse(0);
    return run + (job.openAttempts.isEmpty() ? fetch : 0);
  }

  /**
   * Whether room for such live services is needed earlier than usual: one of their releases is
   * near.
   */
  public boolean near(JobSpec like, long wallMs) {
    if (like.priority() != Priority.PRODUCTION) {
      return false;
    }
    double boot =
        state.types.values().stream()
            .filter(type -> type.fits(like))
            .mapToDouble(MachineType::bootS)
            .min()
            .orElse(0);
    for (Release r : inForce.value()) {
      for (Map.Entry<String, StoredOccurrence> e :
          r.orders(like) ? kept.entrySet() : Set.<Map.Entry<String, StoredOccurrence>>of()) {
        double left = (e.getValue().deadlineMs() - wallMs) / 1000.0 - r.leadS();
        if (e.getKey().startsWith(r.id() + "/")
            && !e.getValue().lifted()
            && left > 0
            && left < NEAR_BOOTS * boot) {
          return true;
        }
      }
    }
    return false;
  }

  /** What a poll tells of the job's release. */
  public void status(Job job, ObjectNode into, long wallMs) {
    StoredOccurrence k = job.release == null ? null : kept.get(job.release);
    if (k == null) {
      return;
    }
    into.put("release", job.release);
    if (k.lifted()) {
      into.put("lifted", true);
      return;
    }
    long slack = job.releaseDeadlineMs - wallMs - job.remainingRunMs;
    into.put("deadline", Instant.ofEpochMilli(k.deadlineMs()).toString())
        .put("slack_s", Math.floorDiv(slack, 1000))
        .put("in_time", slack >= 0);
  }

  /** For operators: what is coming out, and what came of what is out. */
  public void overview(ObjectNode into, long wallMs) {
    into.put("generation", inForce.generation());
    ArrayNode list = into.putArray("releases");
    kept.forEach(
        (name, k) -> {
          ObjectNode o =
              list.addObject()
                  .put("release", name)
                  .put("deadline", Instant.ofEpochMilli(k.deadlineMs()).toString())
                  .put("lifted", k.lifted());
          if (k.over()) {
            o.put("jobs", k.jobs()).put("in_time", k.inTime());
            return;
          }
          int jobs = 0;
          int late = 0;
          for (Job job : state.jobs.values()) {
            if (name.equals(job.release) && job.finalPhase == null) {
              jobs++;
              late += wallMs + job.remainingRunMs > job.releaseDeadlineMs ? 1 : 0;
            }
          }
          o.put("jobs", jobs + served.getOrDefault(name, Set.of()).size()).put("at_risk", late);
        });
  }
}
