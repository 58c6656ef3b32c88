package io.embernotch.leader;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.http.HttpResponse;
import io.embernotch.state.ClusterOverview;

/** Handles users' requests: for a job's status, for its cancellation, or for the overview. */
final class UserRequestHandler {
  private final LeaderComponents components;

  UserRequestHandler(LeaderComponents components) {
    this.components = components;
  }

  void handle(LeaderMessage.UserRequest request) {
    switch (request.kind()) {
      case POLL -> components.jobRequests.poll(request.ref(), request.reply());
      case ABORT -> components.jobRequests.cancel(request.ref(), request.reply());
      case OVERVIEW -> request.reply().complete(HttpResponse.of(200, Json.bytes(overview())));
    }
  }

  private ObjectNode overview() {
    ObjectNode overview =
        ClusterOverview.of(components.state, components.dependencyGraph.blockedCount());
    components.sharedState.overview(overview);
    overview.put("epoch", components.term.epoch());
    overview.put("plans", components.schedulingLoop.runCount());
    overview.put("plan_failures", components.schedulingLoop.failureCount());
    writeWaits(overview.putObject("waiting"));
    writeTeams(overview.putObject("teams"));
    overview.put("views", components.machineViewPublisher.sentCount());
    return overview;
  }

  private void writeWaits(ObjectNode waiting) {
    components
        .schedulingLoop
        .waits()
        .byReason()
        .forEach(
            (reason, waits) ->
                waiting
                    .putObject(reason.text())
                    .put("jobs", waits.jobs())
                    .put("tasks", waits.tasks())
                    .put("first", waits.firstJob())
                    .put("gang", waits.gang()));
  }

  private void writeTeams(ObjectNode teams) {
    components
        .schedulingLoop
        .waits()
        .gpusByTeam()
        .forEach(
            (team, gpus) ->
                teams
                    .putObject(team)
                    .put("gpus_open", gpus.open())
                    .put("gpus_claimed", gpus.claimed())
                    .put("gpus_kept", gpus.kept())
                    .put("gpus_limit", gpus.limit()));
  }
}
