package io.embernotch.incarnation;

import io.embernotch.codec.MalformedInputException;
import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.snapshot.SnapshotBlocks;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.context.ControllerContext;
import io.embernotch.election.Candidacy;
import io.embernotch.model.StoreIncarnation;
import io.embernotch.store.WatchEvents;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.StoreClient;
import io.embernotch.store.Transaction;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which life of the store's contents this controller knows, and whether what is there now is that
 * one. Nothing is written but on condition of the incarnation's key, nobody leads while the contents are not ours,
 * and what they lack is not denied.
 *
 * <p>A loss is noticed by a revision that falls, by the incarnation's key that is not there, or by another incarnation in
 * its place that was not made from ours. An incarnation that was made from ours is taken over.
 */
public final class StoreIncarnationTracker implements StoreClient.LossListener, Candidacy {
  private static final Logger LOG = LoggerFactory.getLogger(StoreIncarnationTracker.class);

  /** Epochs are raised by so much over the highest that we know: others may have seen higher ones than we. */
  static final long LEAP = 1L << 24;

  /** What is told of it. */
  public interface Host {
    /** The store holds our data. {@code base} is what the present incarnation began with. */
    void incarnationSettled(BaseSnapshot baseSnapshot);

    /** Every other controller has been heard from since this process started. */
    boolean allPeersHeard();

    /** Data is lost: whoever is leader here stops. */
    void dataLost(String why);
  }

  private enum State {
    UNREAD,
    INTACT,
    LOST
  }

  private final ControllerContext context;
  private final Host host;
  private final double leaseTtlS;
  private final double retryS;
  private final StoreRestorer.Source source;
  private final StoreRestorer restore;
  private State state = State.UNREAD;
  /** The incarnation that we know; null if there was none yet. */
  private StoreIncarnation known;
  private BaseSnapshot baseSnapshot = BaseSnapshot.EMPTY;
  /** The copy that the present incarnation was begun with, if this node's next leader is its first. */
  private ClusterSnapshot takeInitialSnapshot;
  /** The highest epoch that anybody here has seen. */
  private long highestEpoch;
  private long lossEpoch;
  /** Stamp of the pointer when it was last read, 0 if it was absent; what it named, null if nothing that can be read. */
  private long pointerModRevision;
  private StoreIncarnation pointed;
  /** The incarnation that a claim under way begins; null if it goes on with the present one. */
  private StoreIncarnation claimed;
  private boolean legacyLeaderPresent;
  private final double startedAt;
  /** The pointer has been read since data was last seen to be lost. */
  private boolean pointerRead;
  private boolean readingPointer;
  private boolean retryScheduled;
  private int losses;

  /** @param lifeS life of a leader's lease in seconds */
  public StoreIncarnationTracker(ControllerContext context, Host host, StoreRestorer.Source source, double leaseTtlS) {
    this.context = context;
    this.host = host;
    this.leaseTtlS = leaseTtlS;
    this.retryS = leaseTtlS / 4;
    this.startedAt = context.clock().now();
    this.source = source;
    this.restore = new StoreRestorer(context, source, leaseTtlS, () -> state == State.LOST);
    context.store().setLossListener(this);
  }

  public void start() {
    readPointer();
  }

  /**
   * The contents are known to be ours, so that what they lack was never there. A process that is started
   * into contents without an incarnation knows nothing of them, unless a version before incarnations leads.
   */
  public boolean isIntact() {
    return state == State.INTACT && (known != null || (legacyLeaderPresent && !behind()));
  }

  /**
   * What the store alone says of a job may be told. A process that was just started can't tell contents
   * that were put back from present ones; by now whoever was up before has found that out.
   */
  public boolean mayAnswerFromStore() {
    return isIntact() && !behind() && context.clock().now() - startedAt > 2 * leaseTtlS;
  }

  /**
   * What beats tell of a loss: an epoch that no contents from before the next incarnation can ever reach, whatever
   * is still written to them, and that the next incarnation is above. Fixed at the loss, so that controllers which
   * hear of each other's do not drive it up.
   */
  public long lossEpoch() {
    return lossEpoch;
  }

  /** A job that is known to have been accepted is not there. */
  public void acceptedJobMissing(String ref) {
    if (state == State.INTACT) {
      lost("job " + ref + ", which was accepted, is not there");
    }
  }

  /** Somebody has seen an epoch that these contents have not reached, as far as we have seen them. */
  private boolean behind() {
    return highestEpoch > epochFloor() + context.store().highestRevisionSeen();
  }

  /** Data is lost, and no incarnation has begun since. */
  public boolean lost() {
    return state == State.LOST;
  }

  /** How often data was seen to be lost by this process. */
  public int losses() {
    return losses;
  }

  /** The name of the present incarnation; "" if there is none. */
  public String name() {
    return known == null ? "" : known.name();
  }

  public BaseSnapshot base() {
    return baseSnapshot;
  }

  /**
   * What the store held when the term that follows began, if that began the incarnation: for as long as it
   * has not read the store it knows no more than this. Given once; null if others may have written since.
   */
  public ClusterSnapshot takeInitialSnapshot() {
    ClusterSnapshot given = takeInitialSnapshot;
    takeInitialSnapshot = null;
    return given;
  }

  /** Another has seen so high an epoch; the next leader's is to be above it. */
  public void observeEpoch(long epoch) {
    highestEpoch = Math.max(highestEpoch, epoch);
  }

  /**
   * A controller names a leader and its epoch. Without a leader, one far above what these contents can have
   * reached tells that it has found data lost. A leader must not go on as if nothing were: a follower that alone
   * had seen the one change that was gone once began an incarnation without what the leader knew.
   */
  public void peerHeartbeatReceived(String node, String leader, long epoch) {
    observeEpoch(epoch);
    if (leader == null && state == State.INTACT && known != null && epoch > epochFloor() + context.store().highestRevisionSeen() + LEAP / 2) {
      lost(node + " says so");
    }
  }

  /** The leader's key names this incarnation. */
  public void incarnationNamed(String incarnation) {
    legacyLeaderPresent = incarnation != null && incarnation.isEmpty();
    if (state != State.UNREAD && incarnation != null && !incarnation.equals(name())) {
      readPointer();
    }
  }

  /** A leader's question, now and then, whether the contents are still ours; {@code modification revision}: its key's. */
  public void probe(long modRevision) {
    if (state == State.INTACT && known != null) {
      context.store().verifyUnchanged(JobProgressCodec.LEADER, modRevision);
    }
  }

  @Override
  public void probe() {
    if (state == State.INTACT && known != null) {
      context.store().commit(new Transaction());
    }
  }

  @Override
  public void revisionFell(long seen, long now) {
    lost("its revision fell from " + seen + " to " + now);
  }

  @Override
  public void fenceFailed() {
    readPointer();
  }

  private void lost(String why) {
    highestEpoch = Math.max(highestEpoch, epochFloor() + context.store().highestRevisionSeen());
    context.store().discardIncarnation();
    claimed = null;
    losses++;
    if (state != State.LOST) {
      LOG.warn("the store has lost data: {}", why);
      state = State.LOST;
      lossEpoch = highestEpoch + LEAP;
      host.dataLost(why);
    } else {
      LOG.warn("the store has lost data again: {}", why);
    }
    pointerRead = false;
    restore.begin();
    readPointer();
  }

  private void retryLater() {
    if (!retryScheduled) {
      retryScheduled = true;
      context.timers().after(retryS, () -> {
        retryScheduled = false;
        readPointer();
      });
    }
  }

  // ---- reading the pointer

  private void readPointer() {
    if (readingPointer) {
      return;
    }
    readingPointer = true;
    context.store()
        .get(IncarnationCodec.POINTER)
        .onComplete(
            r -> {
              readingPointer = false;
              if (r.succeeded()) {
                pointerRead = true;
                pointerSeen(r.result());
              }
              if (r.failed() || state == State.LOST) {
                retryLater();
              }
            });
  }

  private void pointerSeen(VersionedEntry entry) {
    StoreIncarnation there = null;
    try {
      there = entry.present() ? IncarnationCodec.read(entry.value(), entry.modRevision()) : null;
    } catch (MalformedInputException e) {
      LOG.warn("the store incarnation key is unreadable: {}", e.getMessage());
    }
    pointerModRevision = entry.modRevision();
    pointed = there;
    boolean same = known != null && there != null && there.name().equals(known.name()) && there.modRevision() == known.modRevision();
    ClusterSnapshot kept = state == State.UNREAD && there == null ? source.newestStoredSnapshot() : null;
    if (kept != null) {
      lost("it holds no era, and there is a snapshot of epoch " + kept.getEpoch());
      return;
    }
    boolean ours = known == null || same || (there != null && there.follows(known));
    if (state == State.LOST ? there != null && (mayAdopt(there)) : ours) {
      adopt(there, same);
    } else if (state != State.LOST) {
      lost(there == null ? "era " + known.name() + " is not there" : "era " + there.name() + " is there, not " + known.name());
    }
  }

  /**
   * After a loss an incarnation that was begun since is taken over if it was made from ours, or if we know nothing
   * that could be put in its place. The one that we knew, or one before it, is what was put back.
   */
  private boolean mayAdopt(StoreIncarnation there) {
    if (known == null || there.follows(known)) {
      return true;
    }
    return !there.name().equals(known.name()) && !known.follows(there) && !restore.hasSource();
  }

  private void adopt(StoreIncarnation there, boolean same) {
    if (there == null || same) {
      settle(there, baseSnapshot);
      return;
    }
    if (there.snapshotName() == null) {
      settle(there, BaseSnapshot.EMPTY);
      return;
    }
    String prefix = IncarnationCodec.blocks(there.snapshotName());
    context.store()
        .list(prefix)
        .onSuccess(
            found -> {
              try {
                settle(there, new BaseSnapshot(unpack(there, found).unpack(), there.since()));
              } catch (MalformedInputException e) {
                LOG.error("store incarnation {} cannot be used: {}", there.name(), e.getMessage());
                retryLater();
              }
            })
        .onFailure(e -> retryLater());
  }

  private static SnapshotBlocks unpack(StoreIncarnation incarnation, WatchEvents found) {
    List<byte[]> blocks = new ArrayList<>();
    for (VersionedEntry entry : found.events()) {
      byte[] block = IncarnationCodec.readBlock(entry.value());
      if (!entry.key().equals(IncarnationCodec.block(incarnation.snapshotName(), blocks.size())) || SnapshotBlocks.sum(block) != IncarnationCodec.readCrc(entry.value())) {
        throw new MalformedInputException("block " + blocks.size() + " is missing or damaged");
      }
      blocks.add(block);
    }
    if (blocks.size() != incarnation.blockCount()) {
      throw new MalformedInputException("it has " + blocks.size() + " of " + incarnation.blockCount() + " blocks");
    }
    return new SnapshotBlocks(blocks, incarnation.crc());
  }

  private void settle(StoreIncarnation there, BaseSnapshot itsBase) {
    boolean news = there != null && (known == null || !there.name().equals(known.name()));
    State before = state;
    if (there != null) {
      context.store().setFence(IncarnationCodec.fence(there), there.modRevision());
    }
    known = there;
    baseSnapshot = itsBase;
    state = State.INTACT;
    if (before != State.INTACT || news) {
      LOG.info("store incarnation {}, epochs from {}", name(), epochFloor());
      host.incarnationSettled(baseSnapshot);
    }
  }

  // ---- the terms of leadership

  @Override
  public long epochFloor() {
    return known == null ? 0 : known.epochFloor();
  }

  @Override
  public boolean mayClaim() {
    if (state == State.INTACT) {
      // Whoever was up before knows whether contents without an incarnation are new, or emptied; and has
      // restored them by then if they are. A process that was started anew into emptied contents once
      // began a first incarnation there, while another still held all that was lost.
      double upS = context.clock().now() - startedAt;
      return known != null
          || (behind() ? upS > context.settings().workers().leaseS() / 2 : host.allPeersHeard() || upS > context.settings().workers().heartbeatIntervalS());
    }
    return state == State.LOST && pointerRead && restore.prepared() != null;
  }

  @Override
  public void leaderKeyOrphaned(String holder) {
    if (state == State.INTACT) {
      lost("the leader key names " + holder + ", and its lease is gone");
    }
  }

  @Override
  public boolean startsNewIncarnation() {
    return state == State.LOST;
  }

  @Override
  public Claim claim(Transaction txn) {
    claimed = null;
    if (state == State.LOST) {
      StoreRestorer.Prepared p = restore.prepared();
      highestEpoch = Math.max(highestEpoch, p.copy().getEpoch());
      claimed = new StoreIncarnation(p.name(), 0, highestEpoch + LEAP, p.name(), p.blocks(), p.crc(), 0, before());
    } else if (known == null) {
      claimed = new StoreIncarnation(context.names().get(), 0, behind() ? highestEpoch + LEAP : 0, null, 0, 0, 0, List.of());
    } else if (highestEpoch > epochFloor() + context.store().highestRevisionSeen()) {
      claimed = new StoreIncarnation(context.names().get(), 0, highestEpoch + LEAP, known.snapshotName(), known.blockCount(), known.crc(), known.since(), known.lineage());
    }
    if (claimed == null) {
      return new Claim(name(), epochFloor(), 0);
    }
    txn.unfenced().when(IncarnationCodec.POINTER, pointerModRevision);
    if (state == State.LOST) {
      // Lost again since they were written, the blocks would be missing: contents that hold the last hold all.
      StoreRestorer.Prepared p = restore.prepared();
      txn.when(IncarnationCodec.block(p.name(), p.blocks() - 1), p.lastModRevision());
    }
    if (pointed != null) {
      txn.drop(IncarnationCodec.fence(pointed));
    }
    txn.write(IncarnationCodec.POINTER, IncarnationCodec.write(claimed)).write(IncarnationCodec.fence(claimed), IncarnationCodec.write(claimed));
    return new Claim(claimed.name(), claimed.epochFloor(), state == State.LOST ? restore.formerLeaderGraceS() : 0);
  }

  /** The names that came before an incarnation that is begun now, whatever is there besides what we knew. */
  private List<String> before() {
    List<String> out = new ArrayList<>(known == null ? List.of() : known.lineage());
    if (pointed != null) {
      pointed.lineage().stream().filter(n -> !out.contains(n)).forEach(out::add);
    }
    return out;
  }

  @Override
  public void claimSucceeded(long modRevision) {
    if (claimed == null) {
      return;
    }
    StoreIncarnation begun = claimed.at(modRevision);
    claimed = null;
    BaseSnapshot with = state == State.LOST ? new BaseSnapshot(restore.prepared().copy(), modRevision) : baseSnapshot;
    if (state == State.LOST) {
      takeInitialSnapshot = restore.prepared().copy();
      LOG.info("restored: {} blocks, complete {}", begun.blockCount(), with.complete());
      restore.finish();
    }
    pointerModRevision = modRevision;
    pointed = begun;
    settle(begun, with);
  }

  @Override
  public void claimRefused() {
    if (claimed == null) {
      return;
    }
    claimed = null;
    readPointer();
    if (state == State.LOST) {
      // The blocks are lost too, or somebody has begun an incarnation: then there is no more need of ours.
      restore.begin();
    }
  }
}
