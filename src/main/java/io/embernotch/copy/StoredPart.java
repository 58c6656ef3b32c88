package io.embernotch.copy;

import io.embernotch.codec.RunCodec;
import io.embernotch.model.Job;
import io.embernotch.store.Entry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A part of a job's progress by its key. */
public record StoredPart(String ref, int size, int index, Entry entry) {
  public static StoredPart of(Entry entry) {
    String[] names = entry.key().substring(RunCodec.PART.length()).split("/");
    return new StoredPart(names[0], Integer.parseInt(names[1]), Integer.parseInt(names[2]), entry);
  }

  /** Smaller parts are newer than larger ones, and these than pieces. */
  public static void add(Job job, List<StoredPart> parts) {
    List<StoredPart> order = new ArrayList<>(parts);
    order.sort(Comparator.comparingInt((StoredPart p) -> -p.size()));
    order.forEach(p -> RunCodec.readPart(p.entry().value(), job, p.size(), p.index()));
  }
}
