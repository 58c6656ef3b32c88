package io.embernotch.snapshot;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.End;
import io.embernotch.snapshot.proto.SnapshotProto.EndedJobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.JobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.OpenAttemptSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.SharedStateEntry;
import io.embernotch.state.ClusterState;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.WatchEvents;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Copies of what the store is to hold: made from a leader's cluster state, and read back as its
 * keys.
 */
public final class StateSnapshot {
  private static final Logger LOG = LoggerFactory.getLogger(StateSnapshot.class);

  private StateSnapshot() {}

  /**
   * What a leader's cluster state says, which is all that its store held and what it had not
   * written yet. Every attempt that was sent is in it, since starts are committed before they are
   * sent.
   *
   * @param pieceOf tasks in a shard of the job with this id
   * @param shared facts beside jobs, by name
   */
  public static ClusterSnapshot of(
      ClusterState state,
      ToIntFunction<String> shardOf,
      Map<String, ObjectNode> shared,
      long epoch,
      long wallMs) {
    ClusterSnapshot.Builder out =
        ClusterSnapshot.newBuilder().setEpoch(epoch).setWallMs(wallMs).setComplete(true);
    shared.forEach((name, value) -> out.addShared(fact(name, value)));
    state.jobs.forEach((ref, job) -> out.addJob(job(job, shardOf.applyAsInt(ref))));
    state.endedJobs.forEach((ref, endedJob) -> out.addEnded(ended(ref, endedJob)));
    return out.build();
  }

  /**
   * What is left in the store, of whatever moment each key is. Values that can't be read are left
   * out, and shards without their job.
   */
  public static ClusterSnapshot of(
      WatchEvents jobs, WatchEvents runs, WatchEvents parts, WatchEvents shared) {
    Map<String, Job> all = new LinkedHashMap<>();
    Map<String, Integer> sizes = new HashMap<>();
    read(
        jobs,
        entry -> {
          Job job = JobProgressCodec.readJob(entry.value());
          sizes.put(job.spec.ref(), JobProgressCodec.readShardSize(entry.value()));
          all.put(job.spec.ref(), job);
        });
    read(
        runs,
        entry -> {
          Job job = all.get(entry.key().split("/")[1]);
          if (job != null) {
            JobProgressCodec.readShard(
                entry.value(),
                job,
                sizes.get(job.spec.ref()),
                JobProgressCodec.shardOf(entry.key()));
          }
        });
    Map<String, List<ProgressShard>> partsOf = new LinkedHashMap<>();
    read(
        parts,
        entry -> {
          ProgressShard part = ProgressShard.of(entry);
          if (all.containsKey(part.ref())) {
            partsOf.computeIfAbsent(part.ref(), r -> new ArrayList<>()).add(part);
          }
        });
    partsOf.forEach(
        (ref, list) -> {
          ProgressShard.applyAll(all.get(ref), list);
          list.forEach(p -> sizes.merge(ref, p.size(), Math::min));
        });
    ClusterSnapshot.Builder out = ClusterSnapshot.newBuilder().setComplete(false);
    shared.events().stream()
        .filter(VersionedEntry::present)
        .forEach(
            entry ->
                out.addShared(
                    fact(entry.key().substring(JobProgressCodec.SHARED.length()), entry.value())));
    all.forEach((ref, job) -> out.addJob(job(job, sizes.get(ref))));
    return out.build();
  }

  private static SharedStateEntry fact(String name, ObjectNode value) {
    return SharedStateEntry.newBuilder()
        .setName(name)
        .setValue(ByteString.copyFrom(Json.bytes(value)))
        .build();
  }

  private static void read(WatchEvents entries, Consumer<VersionedEntry> take) {
    for (VersionedEntry entry : entries.events()) {
      try {
        take.accept(entry);
      } catch (MalformedInputException | IllegalArgumentException bad) {
        LOG.warn("what is left of {} can't be read: {}", entry.key(), bad.getMessage());
      }
    }
  }

  private static JobSnapshot job(Job job, int shardSize) {
    JobSnapshot.Builder builder =
        JobSnapshot.newBuilder()
            .setRef(job.spec.ref())
            .setValue(ByteString.copyFrom(Json.bytes(JobProgressCodec.writeJob(job, shardSize))))
            .setNextAttempt(job.nextAttempt)
            .setDone(ByteString.copyFrom(job.done.toByteArray()));
    if (job.finalPhase != null) {
      builder.setEnd(end(job.finalPhase)).setEndedMs(job.endedMs);
    }
    for (Attempt attempt : job.openAttempts.values()) {
      builder.addOpen(
          OpenAttemptSnapshot.newBuilder()
              .setTask(attempt.task)
              .setNumber(attempt.number)
              .setMachine(attempt.machine)
              .setZone(attempt.zone));
    }
    // A wish outlives the attempt that it is about, until the task is placed anew.
    job.preferredMachines.forEach(
        (task, machine) -> {
          for (OpenAttemptSnapshot.Builder openAttempt : builder.getOpenBuilderList()) {
            if (openAttempt.getTask() == task) {
              openAttempt.setWish(machine);
            }
          }
        });
    return builder.build();
  }

  private static EndedJobSnapshot ended(String ref, ClusterState.EndedJob endedJob) {
    return EndedJobSnapshot.newBuilder()
        .setRef(ref)
        .setEnd(end(endedJob.phase()))
        .setTasks(endedJob.tasks())
        .setDone(endedJob.done())
        .setAtMs(endedJob.atMs())
        .build();
  }

  private static End end(JobPhase phase) {
    return phase == JobPhase.DONE ? End.DONE : End.CANCELLED;
  }

  private static JobPhase phase(End end) {
    return end == End.DONE ? JobPhase.DONE : JobPhase.CANCELLED;
  }

  static ClusterState.EndedJob ended(EndedJobSnapshot endedJob) {
    return new ClusterState.EndedJob(
        phase(endedJob.getEnd()), endedJob.getTasks(), endedJob.getDone(), endedJob.getAtMs());
  }

  /**
   * The keys of a job as the store would hold them, with modification revision 0: its submission
   * first, then its shards.
   */
  static List<VersionedEntry> entries(JobSnapshot snapshot) {
    var value = Json.parseObject(snapshot.getValue().toByteArray());
    Job job = JobProgressCodec.readJob(value);
    int shardSize = JobProgressCodec.readShardSize(value);
    job.nextAttempt = snapshot.getNextAttempt();
    if (snapshot.hasEnd()) {
      job.finalPhase = phase(snapshot.getEnd());
      job.endedMs = snapshot.getEndedMs();
    }
    job.done.or(BitSet.valueOf(snapshot.getDone().toByteArray()));
    // Contents that contradict one another: what a job does not have is not known of it.
    job.done.clear(job.spec.tasks(), Math.max(job.spec.tasks(), job.done.length()));
    for (OpenAttemptSnapshot openAttempt : snapshot.getOpenList()) {
      if (openAttempt.getTask() >= job.spec.tasks()) {
        continue;
      }
      job.openAttempts.put(
          openAttempt.getTask(),
          new Attempt(
              job,
              openAttempt.getTask(),
              openAttempt.getNumber(),
              openAttempt.getMachine(),
              openAttempt.getZone(),
              0));
      if (openAttempt.hasWish()) {
        job.preferredMachines.put(openAttempt.getTask(), openAttempt.getWish());
      }
    }
    List<VersionedEntry> out = new ArrayList<>();
    out.add(new VersionedEntry(JobProgressCodec.JOB + snapshot.getRef(), value, 0));
    for (int k = 0; k * shardSize < job.spec.tasks(); k++) {
      out.add(
          new VersionedEntry(
              JobProgressCodec.shardKey(snapshot.getRef(), k),
              JobProgressCodec.writeShard(job, shardSize, k),
              0));
    }
    return out;
  }
}
