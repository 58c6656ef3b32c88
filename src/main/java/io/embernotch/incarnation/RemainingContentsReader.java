package io.embernotch.incarnation;

import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.persistence.PersistedState;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.snapshot.StateSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.store.StoreClient;
import io.vertx.core.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the remaining contents of a store that has lost data: the keys of the incarnation that it
 * holds now, and that incarnation's base snapshot.
 */
final class RemainingContentsReader {
  private static final Logger LOG = LoggerFactory.getLogger(RemainingContentsReader.class);

  private RemainingContentsReader() {}

  /** Reads the remaining contents as a snapshot; the future fails if any read of a key fails. */
  static Future<ClusterSnapshot> read(StoreClient store) {
    return store
        .get(IncarnationCodec.POINTER)
        .map(PointerReader::parse)
        .compose(pointer -> readBase(store, pointer))
        .compose(
            baseSnapshot ->
                PersistedState.read(store)
                    .map(
                        remaining ->
                            StateSnapshot.of(
                                baseSnapshot,
                                remaining.jobs(),
                                remaining.shards(),
                                remaining.refinedShards(),
                                remaining.shared())));
  }

  private static Future<BaseSnapshot> readBase(StoreClient store, StoredPointer pointer) {
    if (!pointer.isPresent() || pointer.incarnation().snapshotName() == null) {
      return Future.succeededFuture(BaseSnapshot.EMPTY);
    }
    return store
        .list(IncarnationCodec.blockKeyPrefix(pointer.incarnation().snapshotName()))
        .map(
            found -> {
              try {
                return BaseSnapshotReader.read(pointer.incarnation(), found.events());
              } catch (MalformedInputException e) {
                LOG.warn(
                    "cannot read the base snapshot of the remaining contents: {}", e.getMessage());
                return BaseSnapshot.EMPTY;
              }
            });
  }
}
