package io.embernotch.api;

import io.embernotch.codec.JobCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.JobPhase;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one place through which every answer about a job leaves this controller, whoever decided it:
 * cache, leader, store or submission. Each is counted by who decided it, and logged with the
 * knowledge that it rests on, so that the logs of all controllers show every answer about one job
 * in order.
 *
 * <p>No answer contradicts an end that this controller has told or knows. That is an invariant of
 * the program, checked here; it is not what makes answers right. Owned by the controller's event
 * loop.
 */
public final class JobAnswers {
  private static final Logger LOG = LoggerFactory.getLogger(JobAnswers.class);

  private static final int MAX_TOLD_ENDS = 10_000;
  private static final int SUCCESS = 200;
  private static final int NOT_FOUND = 404;
  private static final int SUCCESS_CLASS = 2;
  private static final int STATUSES_PER_CLASS = 100;
  private static final long MS_PER_S = 1000;

  /** What was asked. */
  public enum Kind {
    POLL,
    ABORT,
    SUBMISSION,
    /** A poll or an abort that another controller has forwarded to the leader here. */
    FORWARDED,
    /** A submission that another controller has forwarded. */
    FORWARDED_SUBMISSION
  }

  /** Who decided the answer. */
  public enum Source {
    /** An end that was read, decided or told here before. */
    CACHE,
    /** The leader, here or elsewhere. */
    LEADER,
    /** A read of the store. */
    STORE,
    /** Whoever took the submission. */
    SUBMISSION
  }

  /**
   * What this controller knows as it answers.
   *
   * @param leader the leader; null if none is known
   * @param epoch the leader's epoch
   * @param revision the highest revision of the store that was seen
   * @param incarnation the store incarnation
   */
  public record AnswerContext(String leader, long epoch, long revision, String incarnation) {}

  private final ControllerContext context;
  private final CompletedJobCache completedJobs;
  private final Supplier<AnswerContext> knowledge;
  private final Map<Source, Integer> counts = new EnumMap<>(Source.class);

  /** Ends that were told here, whether or not they are in the cache that answers are given from. */
  private final Map<String, JobPhase> toldEnds = new LeastRecentlyUsed<>(MAX_TOLD_ENDS);

  private int contradictions;
  private int overtaken;

  /** {@code knowledge}: what the controller knows at the moment it is asked. */
  public JobAnswers(
      ControllerContext context,
      CompletedJobCache completedJobs,
      Supplier<AnswerContext> knowledge) {
    this.context = context;
    this.completedJobs = completedJobs;
    this.knowledge = knowledge;
  }

  /** A question that has just arrived. */
  public JobQuery startQuery(Kind kind, String ref) {
    return new JobQuery(kind, ref, context.clock().now(), knownEnd(ref));
  }

  /** How many answers contradicted an end that was known, and were not given. */
  public int contradictions() {
    return contradictions;
  }

  /** How many answers were overtaken by the job's end, which was told instead. */
  public int outdatedAnswers() {
    return overtaken;
  }

  /** How the job ended, as far as this controller knows; null if it knows no end. */
  private JobPhase knownEnd(String ref) {
    JobPhase told = toldEnds.get(ref);
    return told == null ? completedJobs.phase(ref) : told;
  }

  /** The ends of jobs that were told here, or are known to be in the store, by id. */
  public Map<String, JobPhase> ends() {
    Map<String, JobPhase> ends = new TreeMap<>(completedJobs.phases());
    ends.putAll(toldEnds);
    return ends;
  }

  /** How many states of jobs were told, by who decided them. */
  public Map<Source, Integer> counts() {
    return counts;
  }

  /** A question about one job, from its arrival to its answer. */
  public final class JobQuery {
    private final Kind kind;
    private final String ref;
    private final double askedAt;

    /** Null if no end was known when the question arrived. */
    private final JobPhase endWhenAsked;

    private JobQuery(Kind kind, String ref, double askedAt, JobPhase endWhenAsked) {
      this.kind = kind;
      this.ref = ref;
      this.askedAt = askedAt;
      this.endWhenAsked = endWhenAsked;
    }

    /** The answer as it is to be sent: {@code response}, unless it contradicts a known end. */
    public HttpResponse answer(Source source, HttpResponse response) {
      if (!tellsState(response)) {
        log(source, response);
        return response;
      }
      counts.merge(source, 1, Integer::sum);
      HttpResponse checked = check(source, response, phaseOf(response).orElse(null));
      log(source, checked);
      return checked;
    }

    /** {@code phase}: null if the answer is that the job was never accepted. */
    private HttpResponse check(Source source, HttpResponse response, JobPhase phase) {
      boolean ended = phase != null && phase.isFinal();
      JobPhase knownEnd = knownEnd(ref);
      if (knownEnd == null || knownEnd == phase) {
        if (ended) {
          toldEnds.put(ref, phase);
        }
        return response;
      }
      if (endWhenAsked == null && !ended) {
        // Right as of its question; but the job has ended since, and that may have been told.
        overtaken++;
        return HttpResponse.of(SUCCESS, JobCodec.phaseResponse(ref, knownEnd));
      }
      contradictions++;
      LOG.error(
          "{} of {} is not answered: {} says {}, and it is known to be {}",
          lowerCase(kind),
          ref,
          lowerCase(source),
          phase == null ? "that it was never accepted" : lowerCase(phase),
          lowerCase(knownEnd));
      return HttpResponse.unavailable("what is known of it is contradictory");
    }

    private void log(Source source, HttpResponse response) {
      if (!LOG.isDebugEnabled()) {
        return;
      }
      AnswerContext known = knowledge.get();
      LOG.debug(
          "{} answers {} of {}: {} {}, decided by {}; leader {} of epoch {}, revision {}, incarnation {}, asked {} ms ago",
          context.settings().node(),
          lowerCase(kind),
          ref,
          response.status(),
          phaseOf(response).map(JobAnswers::lowerCase).orElse(""),
          lowerCase(source),
          known.leader(),
          known.epoch(),
          known.revision(),
          known.incarnation(),
          Math.round((context.clock().now() - askedAt) * MS_PER_S));
    }
  }

  /** Whether an answer gives a job's state: that it was never accepted is one too. */
  private static boolean tellsState(HttpResponse response) {
    return isSuccess(response) || response.status() == NOT_FOUND;
  }

  private static boolean isSuccess(HttpResponse response) {
    return response.status() / STATUSES_PER_CLASS == SUCCESS_CLASS;
  }

  /** The phase that an answer gives; empty if it gives none. */
  private static Optional<JobPhase> phaseOf(HttpResponse response) {
    return isSuccess(response) ? JobCodec.phaseOf(response.body()) : Optional.empty();
  }

  private static String lowerCase(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
