package io.embernotch.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Settings files are read, checked, and their errors name the field. */
class SettingsTest {
  @Test
  void readsTheFileAndIgnoresUnknownFields() {
    Settings settings =
        SettingsReader.parse("novelty = 3\n" + SimulatedCluster.settingsToml(1) + "novelty = 4\n");
    assertThat(settings.node()).isEqualTo("c1");
    assertThat(settings.members()).extracting(Settings.Member::node).containsExactly("c0", "c2");
    assertThat(settings.teams().get("red").gpusMax()).isEqualTo(24);
    assertThat(settings.storeLimits().txnOps()).isEqualTo(12);
  }

  @Test
  void writesObeyTheSmallerOfPresentAndComingLimits() {
    Settings same = SettingsReader.parse(SimulatedCluster.settingsToml(1));
    assertThat(same.minStoreLimits()).isEqualTo(same.storeLimits());
    String next = "txn_ops = 12\n[cluster.state.next]\ntxn_ops = 4\nwrite_rps = 200.0\n";
    Settings settings =
        SettingsReader.parse(SimulatedCluster.settingsToml(1).replace("txn_ops = 12\n", next));
    assertThat(settings.minStoreLimits()).isEqualTo(new Settings.StoreLimits(250, 100, 8, 4));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "lease_s = 30.0 | lease_s = 'x' | cluster.workers.lease_s",
        "lease_s = 30.0 | other = 1 | cluster.workers.lease_s: missing",
        "lease_s = 30.0 | lease_s = 60.0 | cancel_s",
        "txn_ops = 12 | txn_ops = 1.5 | cluster.state.txn_ops",
        "cloud = '10.2.0.2:8443' | cloud = 'nowhere' | external.cloud",
        "client_listen='10.0.0.2:8080' | client_listen='10.0.0.2:99999' | client_listen",
        "name = 'blue' | name = 'red' | red is named twice",
        "node='c0' | node='c1' | names this node itself",
        "zones = ['z1', 'z2'] | zones = [] | cluster.zones",
        "txn_ops = 12 | txn_ops = 12\\nnext = 3 | cluster.state.next: must be a table",
        "txn_ops = 12 | txn_ops = 12\\n[cluster.state.next]\\ntxn_ops = 1 | cluster.state.next.txn_ops: must be at least 2",
        "txn_ops = 12 | txn_ops = 12\\n[cluster.state.next]\\nvalue_kb = 'x' | cluster.state.next.value_kb"
      })
  void invalidFieldIsNamed(String good, String bad, String message) {
    String toml = SimulatedCluster.settingsToml(1);
    assertThat(toml).contains(good);
    assertThatThrownBy(() -> SettingsReader.parse(toml.replace(good, bad.replace("\\n", "\n"))))
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining(message);
  }

  @Test
  void operatorDefaultsAreThoseOfTheSchema() {
    assertThat(OperatorSettings.parse("")).isEqualTo(OperatorSettings.DEFAULTS);
  }

  @Test
  void operatorSettingsAreChecked() {
    assertThat(OperatorSettings.parse("straggler { beta: 0.4 enabled: false }").beta())
        .isEqualTo(0.4);
    assertThatThrownBy(() -> OperatorSettings.parse("straggler { beta: 4 }"))
        .hasMessageContaining("straggler.beta");
    assertThatThrownBy(() -> OperatorSettings.parse("stragler { }"))
        .hasMessageContaining("stragler");
  }
}
