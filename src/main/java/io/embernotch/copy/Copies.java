package io.embernotch.copy;

import com.google.protobuf.ByteString;
import io.embernotch.codec.Json;
import io.embernotch.codec.RunCodec;
import io.embernotch.copy.proto.CopyFile.Copy;
import io.embernotch.copy.proto.CopyFile.End;
import io.embernotch.copy.proto.CopyFile.EndedCopy;
import io.embernotch.copy.proto.CopyFile.JobCopy;
import io.embernotch.copy.proto.CopyFile.OpenCopy;
import io.embernotch.ledger.Ledger;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Phase;
import io.embernotch.store.Entry;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.ToIntFunction;

/** Copies of what the state service is to hold: made from a steward's ledger, and read back as its keys. */
public final class Copies {
  private Copies() {}

  /**
   * What a steward's ledger says, which is all that its store held and what it had not written yet. Every
   * attempt that was sent is in it, since starts are committed before they are sent.
   *
   * @param pieceOf tasks in a piece of the job with this id
   */
  public static Copy of(Ledger ledger, ToIntFunction<String> pieceOf, long epoch, long wallMs) {
    Copy.Builder out = Copy.newBuilder().setEpoch(epoch).setWallMs(wallMs).setComplete(true);
    ledger.jobs.forEach((ref, job) -> out.addJob(job(job, pieceOf.applyAsInt(ref))));
    ledger.ended.forEach((ref, e) -> out.addEnded(ended(ref, e)));
    return out.build();
  }

  private static JobCopy job(Job job, int piece) {
    JobCopy.Builder b =
        JobCopy.newBuilder()
            .setRef(job.spec.ref())
            .setValue(ByteString.copyFrom(Json.bytes(RunCodec.writeJob(job, piece))))
            .setNextAttempt(job.nextAttempt)
            .setDone(ByteString.copyFrom(job.done.toByteArray()));
    if (job.end != null) {
      b.setEnd(end(job.end)).setEndedMs(job.endedMs);
    }
    for (Attempt a : job.open.values()) {
      b.addOpen(OpenCopy.newBuilder().setTask(a.task).setNumber(a.number).setMachine(a.machine).setZone(a.zone));
    }
    // A wish outlives the attempt that it is about, until the task is placed anew.
    job.wishes.forEach((task, machine) -> {
      for (OpenCopy.Builder o : b.getOpenBuilderList()) {
        if (o.getTask() == task) {
          o.setWish(machine);
        }
      }
    });
    return b.build();
  }

  private static EndedCopy ended(String ref, Ledger.Ended e) {
    return EndedCopy.newBuilder()
        .setRef(ref).setEnd(end(e.phase())).setTasks(e.tasks()).setDone(e.done()).setAtMs(e.atMs()).build();
  }

  private static End end(Phase phase) {
    return phase == Phase.DONE ? End.DONE : End.CANCELLED;
  }

  private static Phase phase(End end) {
    return end == End.DONE ? Phase.DONE : Phase.CANCELLED;
  }

  static Ledger.Ended ended(EndedCopy e) {
    return new Ledger.Ended(phase(e.getEnd()), e.getTasks(), e.getDone(), e.getAtMs());
  }

  /** The keys of a job as the store would hold them, with stamp 0: its submission first, then its pieces. */
  static List<Entry> entries(JobCopy c) {
    var value = Json.parseObject(c.getValue().toByteArray());
    Job job = RunCodec.readJob(value);
    int piece = RunCodec.readPiece(value);
    job.nextAttempt = c.getNextAttempt();
    if (c.hasEnd()) {
      job.end = phase(c.getEnd());
      job.endedMs = c.getEndedMs();
    }
    job.done.or(BitSet.valueOf(c.getDone().toByteArray()));
    for (OpenCopy o : c.getOpenList()) {
      job.open.put(o.getTask(), new Attempt(job, o.getTask(), o.getNumber(), o.getMachine(), o.getZone(), 0));
      if (o.hasWish()) {
        job.wishes.put(o.getTask(), o.getWish());
      }
    }
    List<Entry> out = new ArrayList<>();
    out.add(new Entry(RunCodec.JOB + c.getRef(), value, 0));
    for (int k = 0; k * piece < job.spec.tasks(); k++) {
      out.add(new Entry(RunCodec.key(c.getRef(), k), RunCodec.writeRun(job, piece, k), 0));
    }
    return out;
  }
}
