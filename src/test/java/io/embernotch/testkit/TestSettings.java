package io.embernotch.testkit;

/** Settings files of three controllers, c0 and c1 in zone z1 and c2 in zone z2. */
final class TestSettings {
  private TestSettings() {}

  /** Zone of a controller. */
  static String zone(int index) {
    return index == 2 ? "z2" : "z1";
  }

  /**
   * The settings file of a controller.
   *
   * @param scale how many times as much as usual the team red may use
   * @param next the section {@code cluster.state.next}; empty if there is none
   */
  static String toml(int index, int scale, String next) {
    StringBuilder toml = new StringBuilder();
    toml.append("node='c")
        .append(index)
        .append("'\nlocation='")
        .append(zone(index))
        .append("'\nclient_listen='10.0.0.")
        .append(index + 1)
        .append(":8080'\nback='10.0.0.")
        .append(index + 1)
        .append(":8081'\n");
    for (int i = 0; i < 3; i++) {
      if (i != index) {
        toml.append("[[members]]\nnode='c")
            .append(i)
            .append("'\nlocation='")
            .append(zone(i))
            .append("'\naddress='10.0.0.")
            .append(i + 1)
            .append(":8081'\n");
      }
    }
    return toml.append(CLUSTER)
        .toString()
        .replace("# next\n", next)
        .replace("gpus_max = 24.0", "gpus_max = " + 24.0 * scale);
  }

  private static final String CLUSTER =
      """
      [external]
      cloud = '10.2.0.2:8443'
      state = '10.2.0.1:2379'
      [cluster]
      count = 3
      zones = ['z1', 'z2']
      time_bound_ms = 1000.0
      [[cluster.teams]]
      name = 'red'
      gpus = 8.0
      gpus_max = 24.0
      [[cluster.teams]]
      name = 'blue'
      gpus = 8.0
      gpus_max = 64.0
      [cluster.workers]
      report_s = 3.0
      lease_s = 30.0
      gang_wait_s = 30.0
      gang_peer_s = 4.0
      cancel_s = 50.0
      [cluster.state]
      rps = 250.0
      write_rps = 100.0
      value_kb = 8.0
      txn_ops = 12
      # next
      [cluster.cloud]
      rps = 10.0
      list_lag_s = 3.0
      [cluster.quota]
      cpu_share = 0.3
      memory_mb = 256.0
      max_connections = 1000
      """;
}
