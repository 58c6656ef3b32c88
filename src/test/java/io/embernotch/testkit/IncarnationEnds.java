package io.embernotch.testkit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.incarnation.BaseSnapshotReader;
import io.embernotch.model.JobPhase;
import io.embernotch.model.StoreIncarnation;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.WatchEvents;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** The ends that the store holds in the blocks of an incarnation, whether or not in other keys. */
final class IncarnationEnds {
  private static final WatchEvents NO_ENTRIES = new WatchEvents(0, List.of());

  private IncarnationEnds() {}

  /** The jobs that are done by the snapshot which an incarnation that has just begun names. */
  static Set<String> jobsDone(StoreData data, ObjectNode pointer) {
    StoreIncarnation incarnation = IncarnationCodec.read(pointer, data.revision());
    Set<String> done = new TreeSet<>();
    if (incarnation.snapshotName() == null) {
      return done;
    }
    BaseSnapshot baseSnapshot =
        BaseSnapshotReader.read(incarnation, blocks(data, incarnation.snapshotName()));
    baseSnapshot
        .endedJobs()
        .forEach(
            (ref, end) -> {
              if (end.phase() == JobPhase.DONE) {
                done.add(ref);
              }
            });
    for (String prefix : List.of(JobProgressCodec.SHARD, JobProgressCodec.REFINED_SHARD)) {
      baseSnapshot.overlay(prefix, NO_ENTRIES).events().stream()
          .filter(entry -> isDone(entry.value()))
          .forEach(entry -> done.add(FakeStore.refOf(entry.key())));
    }
    return done;
  }

  /** Whether a progress shard holds the end of its job, and that is done. */
  static boolean isDone(ObjectNode shard) {
    return shard.path("end").asText().equals("done");
  }

  private static List<VersionedEntry> blocks(StoreData data, String snapshotName) {
    return data
        .list(IncarnationCodec.blockKeyPrefix(snapshotName), null, Integer.MAX_VALUE)
        .entrySet()
        .stream()
        .map(
            block ->
                new VersionedEntry(
                    block.getKey(), block.getValue().value(), block.getValue().modRevision()))
        .toList();
  }
}
