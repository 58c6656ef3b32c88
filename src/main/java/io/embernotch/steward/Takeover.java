package io.embernotch.steward;

import io.embernotch.codec.RunCodec;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.store.Changes;
import io.embernotch.store.Entry;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Fills a new steward's ledger from the store. What runs is let be: its attempts are open, and
 * unsure until a worker reports under one of this steward's tokens.
 */
final class Takeover {
  private final Env env;
  private final Ledger ledger;
  private final Committer committer;
  private final Demand demand;
  private final long baseToken;
  private final double acquiredAt;

  Takeover(Env env, Ledger ledger, Committer committer, Demand demand, long baseToken, double acquiredAt) {
    this.env = env;
    this.ledger = ledger;
    this.committer = committer;
    this.demand = demand;
    this.baseToken = baseToken;
    this.acquiredAt = acquiredAt;
  }

  void read(Changes jobs, Changes runs) {
    ledger.jobs.clear();
    ledger.ended.clear();
    ledger.machines.clear();
    Map<String, Job> all = new LinkedHashMap<>();
    Map<String, Integer> sizes = new HashMap<>();
    for (Entry e : jobs.events()) {
      Job job = RunCodec.readJob(e.value());
      all.put(job.spec.ref(), job);
      sizes.put(job.spec.ref(), RunCodec.readPiece(e.value()));
    }
    for (Entry e : runs.events()) {
      String[] parts = e.key().substring(RunCodec.RUN.length()).split("/");
      Job job = all.get(parts[0]);
      if (job != null) {
        int piece = parts.length > 1 ? Integer.parseInt(parts[1]) : 0;
        RunCodec.readRun(e.value(), job, sizes.get(parts[0]), piece);
        if (job.end == null || !job.open.isEmpty()) {
          committer.know(e.key(), e.stamp());
        }
      }
    }
    all.values().stream()
        .sorted(Comparator.comparingLong(j -> j.submittedMs))
        .forEach(j -> demand.seen(j.spec, acquiredAt - Math.max(0, env.clock().wallMs() - j.submittedMs) / 1000.0));
    all.values().forEach(j -> take(j, sizes.get(j.spec.ref())));
  }

  private void take(Job job, int pieceSize) {
    String ref = job.spec.ref();
    if (job.end != null && job.open.isEmpty()) {
      ledger.ended.put(ref, new Ledger.Ended(job.end, job.spec.tasks(), job.done.cardinality()));
      return;
    }
    committer.knowPieceSize(ref, pieceSize);
    // Numbers of attempts are never used twice, whatever an earlier steward left unwritten.
    job.nextAttempt = Math.max(job.nextAttempt, baseToken);
    ledger.jobs.put(ref, job);
    for (Attempt a : job.open.values()) {
      Machine m = ledger.machine(a.machine, baseToken);
      m.zone = a.zone;
      m.open.put(Machine.taskKey(ref, a.task), a);
      m.touched();
      a.startToken = baseToken - 1;
      a.createdAt = acquiredAt;
      job.restarted.set(a.task);
    }
  }
}
