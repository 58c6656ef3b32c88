package io.embernotch.snapshot;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.snapshot.proto.SnapshotProto.End;
import io.embernotch.snapshot.proto.SnapshotProto.EndedJobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.JobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.OpenAttemptSnapshot;
import io.embernotch.state.ClusterState;
import io.embernotch.store.VersionedEntry;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** Converts jobs to snapshot messages, and snapshot messages to entries as the store holds them. */
final class JobSnapshots {
  private JobSnapshots() {}

  /**
   * The snapshot of a job.
   *
   * @param shardSize number of tasks in a shard of the job
   */
  static JobSnapshot write(Job job, int shardSize) {
    JobSnapshot.Builder snapshot =
        JobSnapshot.newBuilder()
            .setRef(job.spec.ref())
            .setValue(ByteString.copyFrom(Json.bytes(JobProgressCodec.writeJob(job, shardSize))))
            .setNextAttempt(job.nextAttempt)
            .setDone(ByteString.copyFrom(job.done.toByteArray()));
    if (job.finalPhase != null) {
      snapshot.setEnd(end(job.finalPhase)).setEndedMs(job.endedMs);
    }
    for (Attempt attempt : job.openAttempts.values()) {
      snapshot.addOpen(
          OpenAttemptSnapshot.newBuilder()
              .setTask(attempt.task)
              .setNumber(attempt.number)
              .setMachine(attempt.machine)
              .setZone(attempt.zone));
    }
    // A preferred machine may outlive its attempt, until the task is placed again: then it is left
    // out.
    job.preferredMachines.forEach(
        (task, machine) -> {
          for (OpenAttemptSnapshot.Builder openAttempt : snapshot.getOpenBuilderList()) {
            if (openAttempt.getTask() == task) {
              openAttempt.setWish(machine);
            }
          }
        });
    return snapshot.build();
  }

  /** The snapshot of a job that is reduced to its end. */
  static EndedJobSnapshot writeEnded(String ref, ClusterState.EndedJob endedJob) {
    return EndedJobSnapshot.newBuilder()
        .setRef(ref)
        .setEnd(end(endedJob.phase()))
        .setTasks(endedJob.tasks())
        .setDone(endedJob.done())
        .setAtMs(endedJob.atMs())
        .build();
  }

  /** Reads the snapshot of a job that is reduced to its end. */
  static ClusterState.EndedJob readEnded(EndedJobSnapshot snapshot) {
    return new ClusterState.EndedJob(
        phase(snapshot.getEnd()), snapshot.getTasks(), snapshot.getDone(), snapshot.getAtMs());
  }

  private static End end(JobPhase phase) {
    return phase == JobPhase.DONE ? End.DONE : End.CANCELLED;
  }

  private static JobPhase phase(End end) {
    return end == End.DONE ? JobPhase.DONE : JobPhase.CANCELLED;
  }

  /**
   * The entries of a job as the store would hold them, with modification revision 0: the submission
   * first, then the progress shards.
   *
   * @throws io.embernotch.codec.MalformedInputException if the submission is malformed
   */
  static List<VersionedEntry> entries(JobSnapshot snapshot) {
    ObjectNode value = Json.parseObject(snapshot.getValue().toByteArray());
    Job job = readJob(snapshot, value);
    int shardSize = JobProgressCodec.readShardSize(value);
    List<VersionedEntry> entries = new ArrayList<>();
    entries.add(new VersionedEntry(JobProgressCodec.JOB_PREFIX + snapshot.getRef(), value, 0));
    for (int shard = 0; shard * shardSize < job.spec.tasks(); shard++) {
      entries.add(
          new VersionedEntry(
              JobProgressCodec.shardKey(snapshot.getRef(), shard),
              JobProgressCodec.writeShard(job, shardSize, shard),
              0));
    }
    return entries;
  }

  private static Job readJob(JobSnapshot snapshot, ObjectNode value) {
    Job job = JobProgressCodec.readJob(value);
    int tasks = job.spec.tasks();
    job.nextAttempt = snapshot.getNextAttempt();
    if (snapshot.hasEnd()) {
      job.finalPhase = phase(snapshot.getEnd());
      job.endedMs = snapshot.getEndedMs();
    }
    job.done.or(BitSet.valueOf(snapshot.getDone().toByteArray()));
    // A snapshot of inconsistent contents may name tasks that the job does not have: ignore them.
    job.done.clear(tasks, Math.max(tasks, job.done.length()));
    for (OpenAttemptSnapshot open : snapshot.getOpenList()) {
      if (open.getTask() >= tasks) {
        continue;
      }
      job.openAttempts.put(
          open.getTask(),
          new Attempt(job, open.getTask(), open.getNumber(), open.getMachine(), open.getZone(), 0));
      if (open.hasWish()) {
        job.preferredMachines.put(open.getTask(), open.getWish());
      }
    }
    return job;
  }
}
