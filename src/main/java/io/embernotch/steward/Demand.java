package io.embernotch.steward;

import io.embernotch.model.Job;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Shape;
import io.embernotch.plan.Fleet.Headroom;
import io.embernotch.settings.OperatorSettings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What has been asked for lately, from which the room to keep free follows. */
final class Demand {
  private final Map<String, JobSpec> latest = new LinkedHashMap<>();

  void seen(JobSpec spec, double now) {
    latest.put(spec.jobClass(), spec);
  }

  List<Headroom> headroom(OperatorSettings operator, Collection<Job> jobs) {
    Map<String, Integer> open = new LinkedHashMap<>();
    for (Job j : jobs) {
      if (j.end == null) {
        latest.putIfAbsent(j.spec.jobClass(), j.spec);
        open.merge(j.spec.jobClass(), j.spec.shape() == Shape.GANG ? 1 : j.remaining(), Integer::sum);
      }
    }
    List<Headroom> out = new ArrayList<>();
    open.forEach(
        (name, count) -> {
          JobSpec like = latest.get(name);
          double share =
              switch (like.shape()) {
                case ARRAY -> operator.arrayHeadroom();
                case GANG -> operator.gangHeadroom();
                case SERVICE -> operator.serviceHeadroom();
              };
          out.add(new Headroom(like, (int) Math.ceil(count * share)));
        });
    return out;
  }
}
