package io.embernotch.testkit;

import io.embernotch.actor.EventLoopProfile;
import io.embernotch.cloud.CloudClient;
import io.embernotch.context.ControllerContext;
import io.embernotch.controller.Controller;
import io.embernotch.http.HttpCaller;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Settings;
import io.embernotch.store.LeaseRenewer;
import io.embernotch.store.StoreClient;

/** Creates controllers that run on the fake clock and talk over the simulated network. */
final class ControllerFactory {
  private final FakeTime time;
  private final HttpNetwork http;
  private final PeerNetwork peers;
  private OperatorSettings operatorSettings;
  private int nextId = 1;

  ControllerFactory(
      FakeTime time, HttpNetwork http, PeerNetwork peers, OperatorSettings operatorSettings) {
    this.time = time;
    this.http = http;
    this.peers = peers;
    this.operatorSettings = operatorSettings;
  }

  /** The operators' settings of controllers created from now on. */
  void setOperatorSettings(OperatorSettings newer) {
    operatorSettings = newer;
  }

  /** A controller for the present incarnation of a node. */
  Controller create(ControllerNode node) {
    Settings settings = node.settings;
    IncarnationTimers timers = new IncarnationTimers(time, node);
    HttpCaller caller = http.callerOf(node);
    ControllerContext context =
        new ControllerContext(
            settings,
            operatorSettings,
            time,
            timers,
            timers,
            EventLoopProfile.NONE,
            new StoreClient(caller, time, timers, settings),
            new CloudClient(caller, time, timers, settings),
            caller,
            () -> settings.node() + "-" + nextId++,
            Runnable::run);
    return new Controller(context, peers.linkOf(node), leaseRenewer(settings, caller, timers));
  }

  private LeaseRenewer leaseRenewer(
      Settings settings, HttpCaller caller, IncarnationTimers timers) {
    return new LeaseRenewer(
        caller,
        settings.storeAddress(),
        time,
        timers,
        timers,
        timers,
        settings.leaderLeaseS(OperatorSettings.DEFAULTS),
        Settings.DRIFT,
        settings.contactTimeoutS());
  }
}
