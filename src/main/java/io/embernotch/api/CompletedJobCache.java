package io.embernotch.api;

import io.embernotch.codec.JobCodec;
import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.JobPhase;
import java.util.Map;

/** Ends that are known to be in the store; they never change, so any node may repeat them. */
public final class CompletedJobCache {
  private static final int MOST = 10_000;

  private record End(JobPhase phase, int done) {}

  private final Map<String, End> ends = new LeastRecentlyUsed<>(MOST);

  public void put(String ref, JobPhase phase, int done) {
    ends.put(ref, new End(phase, done));
  }

  /** The end of a job; null if none is known. */
  public JobPhase phase(String ref) {
    End e = ends.get(ref);
    return e == null ? null : e.phase;
  }

  public HttpResponse status(String ref) {
    End e = ends.get(ref);
    return e == null ? null : HttpResponse.of(200, JobCodec.status(ref, e.phase, e.done, 0));
  }

  public HttpResponse brief(String ref) {
    End e = ends.get(ref);
    return e == null ? null : HttpResponse.of(200, JobCodec.brief(ref, e.phase));
  }
}
