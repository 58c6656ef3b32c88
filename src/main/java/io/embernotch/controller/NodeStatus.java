package io.embernotch.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.api.JobAnswers;
import io.embernotch.codec.Json;
import io.embernotch.context.ControllerContext;
import io.embernotch.election.LeaderElection;
import io.embernotch.election.LeaderObserver;
import io.embernotch.election.PeerLiveness;
import io.embernotch.http.HttpResponse;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.straggler.LocalPartition;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Reports the readiness of this controller, and an overview for operators. */
final class NodeStatus {
  private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.UTF_8);

  private final ControllerContext context;
  private final MachineTypeCatalog machineTypes;
  private final StoreIncarnationTracker incarnations;
  private final LeaderElection election;
  private final LeaderObserver leaderObserver;
  private final PeerLiveness peerLiveness;
  private final LocalPartition localPartition;
  private final LocalLeader localLeader;
  private final JobAnswers answers;
  private final Replication replication;

  NodeStatus(
      ControllerContext context,
      MachineTypeCatalog machineTypes,
      StoreIncarnationTracker incarnations,
      LeaderElection election,
      LeaderObserver leaderObserver,
      PeerLiveness peerLiveness,
      LocalPartition localPartition,
      LocalLeader localLeader,
      JobAnswers answers,
      Replication replication) {
    this.context = context;
    this.machineTypes = machineTypes;
    this.incarnations = incarnations;
    this.election = election;
    this.leaderObserver = leaderObserver;
    this.peerLiveness = peerLiveness;
    this.localPartition = localPartition;
    this.localLeader = localLeader;
    this.answers = answers;
    this.replication = replication;
  }

  /** Returns 200 if load balancers should send requests to this controller, else 503. */
  HttpResponse ready() {
    if (machineTypes.types().isEmpty()) {
      return HttpResponse.unavailable("machine types are not known yet");
    }
    double storeFailingForS = context.store().failingForS();
    double toleratedFailureS = context.settings().workers().heartbeatIntervalS() / 2;
    // A store outage affects all nodes alike. Leaving the load balancer then would only delay
    // recovery.
    boolean onlyThisNodeFails =
        storeFailingForS > toleratedFailureS && peerLiveness.isAnyReachingStore();
    boolean isolated =
        !context.settings().members().isEmpty()
            && peerLiveness.live().isEmpty()
            && storeFailingForS > 0;
    return onlyThisNodeFails || isolated
        ? HttpResponse.unavailable("cannot reach the state service")
        : HttpResponse.of(200, EMPTY_OBJECT);
  }

  /**
   * Returns the overview of this node, and that of the cluster if the leader has answered.
   *
   * @param clusterResponse the leader's response to a request for the cluster's overview
   */
  HttpResponse overview(HttpResponse clusterResponse) {
    ObjectNode overview = Json.object();
    overview.put("node", context.settings().node());
    overview.put("steward", leaderObserver.node());
    overview.put("live", localLeader.isPresent() && election.isLeaseValid());
    overview.put("state_ok", context.store().failingForS() == 0);
    overview.put("era", incarnations.name());
    overview.put("sound", incarnations.isIntact());
    overview.put("losses", incarnations.lossCount());
    overview.put("part", localPartition.size());
    overview.put("term_epoch", election.epoch());
    overview.put("lease_left_s", Math.max(0, -election.leaseExpiredForS()));
    replication.describe(overview.putObject("replica"));
    writeAnswerCounts(overview.putObject("answers"));
    overview.put("answers_overtaken", answers.outdatedAnswers());
    overview.put("answer_contradictions", answers.contradictions());
    var peers = overview.putArray("peers");
    peerLiveness.live().forEach(peers::add);
    if (clusterResponse.status() == 200) {
      overview.set("cluster", Json.parseObject(clusterResponse.body()));
    }
    return HttpResponse.of(200, Json.bytes(overview));
  }

  private void writeAnswerCounts(ObjectNode target) {
    answers
        .counts()
        .forEach((source, count) -> target.put(source.name().toLowerCase(Locale.ROOT), count));
  }
}
