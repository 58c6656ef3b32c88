import java.util.List;

/** Settings like those of a small deployment: those of the page BRIEF. */
record Site(
    List<String> zones,
    double rps,
    double writeRps,
    double valueKb,
    int txnOps,
    String flavor,
    double cores,
    double memGb,
    double listLagS,
    double leaseS,
    String cluster) {

  static final Site KYUSHU =
      new Site(
          List.of("hakata-room", "kumamoto-dr"), 250, 40, 8, 12, "hinoki-48", 48, 288, 3, 31,
          """
        [cluster]
        count = 3
        zones = ["hakata-room", "kumamoto-dr"]
        time_bound_ms = 1000.0
        [[cluster.teams]]
        name = "desk-ops"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 72.0
        gpus_max = 224.0
        [[cluster.teams]]
        name = "lingo-lab"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 48.0
        gpus_max = 500.0
        [[cluster.teams]]
        name = "member-data"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 120.0
        gpus_max = 368.0
        [[cluster.teams]]
        name = "univ-nlp-guest"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 0.0
        gpus_max = 0.0
        [[cluster.objectives]]
        kind = "finished"
        class = "scan-read"
        within_s = 80.0
        share = 0.88
        [cluster.workers]
        report_s = 3.0
        lease_s = 31.0
        gang_wait_s = 30.0
        gang_peer_s = 4.0
        cancel_s = 51.0
        [cluster.state]
        rps = 250.0
        write_rps = 40.0
        value_kb = 8.0
        txn_ops = 12
        [cluster.cloud]
        rps = 5.0
        list_lag_s = 3.0
        [cluster.quota]
        cpu_share = 0.33
        memory_mb = 263.0
        max_connections = 1800
        """);

  static final Site REGISTO =
      new Site(
          List.of("maia-hall"), 120, 35, 32, 20, "douro-96", 96, 576, 5, 32,
          """
        [cluster]
        count = 3
        zones = ["maia-hall"]
        time_bound_ms = 1000.0
        [[cluster.teams]]
        name = "balcao-ops"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 72.0
        gpus_max = 2150.0
        [[cluster.teams]]
        name = "docs-ml"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 128.0
        gpus_max = 376.0
        [[cluster.teams]]
        name = "audit-guest"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 0.0
        gpus_max = 0.0
        [[cluster.objectives]]
        kind = "finished"
        class = "escritura-read"
        within_s = 150.0
        share = 0.88
        [cluster.workers]
        report_s = 3.0
        lease_s = 32.0
        gang_wait_s = 40.0
        gang_peer_s = 8.0
        cancel_s = 62.0
        [cluster.state]
        rps = 120.0
        write_rps = 35.0
        value_kb = 32.0
        txn_ops = 20
        [cluster.cloud]
        rps = 5.0
        list_lag_s = 5.0
        [cluster.quota]
        cpu_share = 0.264
        memory_mb = 436.0
        max_connections = 3500
        """);

  Store store() {
    return new Store(rps, writeRps, valueKb, txnOps);
  }

  /** Machines of 8 cards that are up 2 to 3 s after they were rented. */
  Fleet fleet(int machines) {
    Fleet fleet = new Fleet(flavor, cores, 8, memGb, 3, zones, listLagS, new Worker.Timing(3, leaseS));
    fleet.capacity = machines;
    return fleet;
  }
}
