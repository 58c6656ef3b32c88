package io.embernotch.users;

import io.embernotch.codec.JobCodec;
import io.embernotch.env.Recent;
import io.embernotch.http.Answer;
import io.embernotch.model.Phase;
import java.util.Map;

/** Ends that are known to be in the store; they never change, so any node may repeat them. */
public final class EndedCache {
  private static final int MOST = 10_000;

  private record End(Phase phase, int done) {}

  private final Map<String, End> ends = new Recent<>(MOST);

  public void put(String ref, Phase phase, int done) {
    ends.put(ref, new End(phase, done));
  }

  /** The end of a job; null if none is known. */
  public Phase phase(String ref) {
    End e = ends.get(ref);
    return e == null ? null : e.phase;
  }

  public Answer status(String ref) {
    End e = ends.get(ref);
    return e == null ? null : Answer.of(200, JobCodec.status(ref, e.phase, e.done, 0));
  }

  public Answer brief(String ref) {
    End e = ends.get(ref);
    return e == null ? null : Answer.of(200, JobCodec.brief(ref, e.phase));
  }
}
