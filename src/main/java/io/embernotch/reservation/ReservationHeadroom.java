package io.embernotch.reservation;

import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import io.embernotch.model.Priority;
import io.embernotch.scheduling.FleetView.Headroom;
import io.embernotch.scheduling.Resources;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Reservation;
import io.embernotch.settings.Selector;
import io.embernotch.state.ClusterState;
import java.util.ArrayList;
import java.util.List;

/** How much is to be free for a reservation, as tasks like those that it is for. */
final class ReservationHeadroom {
  private ReservationHeadroom() {}

  static List<Headroom> of(
      Reservation r, List<Headroom> headroom, ClusterState state, OperatorSettings operator) {
    Resources used = Resources.ZERO;
    int tasks = 0;
    JobSpec like = null;
    for (Job job : state.jobs.values()) {
      if (job.finalPhase == null && r.serves(job.spec)) {
        used = used.plus(Resources.of(job.spec), job.openAttempts.size());
        tasks += job.openAttempts.size();
        like = job.spec;
      }
    }
    List<Headroom> out = new ArrayList<>();
    double served = 0;
    for (Headroom h : headroom) {
      if (r.serves(h.like())) {
        like = h.like();
        double each =
            operator.serviceSpare() > 0 && h.like().shape() == JobShape.SERVICE
                ? r.deviations() / operator.serviceSpare()
                : r.deviations();
        int n = (int) Math.round(h.count() * each);
        served += n;
        if (n > 0) {
          out.add(new Headroom(h.like(), n));
        }
      }
    }
    int share = (int) Math.ceil(r.share() * tasks - served);
    if (share > 0 && like != null) {
      out.add(new Headroom(like.withTasks(1), share));
      served += share;
    }
    if (r.fixed()) {
      missing(r, used, like, served, state, out);
    }
    return out;
  }

  /** What is missing to a fixed amount beyond what is free anyway. */
  private static void missing(
      Reservation r,
      Resources used,
      JobSpec like,
      double served,
      ClusterState state,
      List<Headroom> out) {
    if (r.machines() > 0) {
      MachineType type =
          state.types.values().stream()
              .filter(candidate -> r.allowsType(candidate.name()))
              .findFirst()
              .orElse(null);
      if (type != null) {
        Resources whole = new Resources(type.cpus(), type.gpus(), type.memGb());
        int filled =
            (int)
                Math.ceil(
                    Math.max(
                        used.cpus() / Math.max(1, whole.cpus()),
                        type.gpus() > 0 ? used.gpus() / type.gpus() : 0));
        if (r.machines() > filled) {
          out.add(new Headroom(task(r, whole), r.machines() - filled));
        }
      }
      return;
    }
    Resources left = new Resources(r.cpus(), r.gpus(), r.memGb()).minus(used);
    if (left.isZero()) {
      return;
    }
    Resources unit = like != null ? Resources.of(like) : unit(r);
    int n =
        (int)
            Math.ceil(
                Math.max(
                        ratio(left.cpus(), unit.cpus()),
                        Math.max(
                            ratio(left.gpus(), unit.gpus()), ratio(left.memGb(), unit.memGb())))
                    - served);
    if (n > 0) {
      out.add(new Headroom(like != null ? like.withTasks(1) : task(r, unit), n));
    }
  }

  private static double ratio(double want, double each) {
    return want <= 0 || each <= 0 ? 0 : want / each;
  }

  /** Nothing of its work has been seen: one GPU, or one CPU, and what goes with it. */
  private static Resources unit(Reservation r) {
    double n = r.gpus() > 0 ? r.gpus() : Math.max(1, r.cpus());
    return new Resources(r.cpus() / n, r.gpus() / n, r.memGb() / n);
  }

  private static JobSpec task(Reservation r, Resources a) {
    Selector s = r.serves().get(0);
    Priority priority = s.priority() == null ? Priority.PRODUCTION : s.priority();
    return new JobSpec(
        "",
        s.jobClass() == null ? r.name() : s.jobClass(),
        s.team() == null ? "" : s.team(),
        s.shape() == null ? JobShape.SERVICE : s.shape(),
        priority,
        1,
        a.cpus(),
        a.gpus(),
        a.memGb(),
        "",
        0,
        r.types().isEmpty() ? null : r.types(),
        null,
        false,
        false,
        false,
        0,
        0,
        0,
        null,
        List.of());
  }
}
