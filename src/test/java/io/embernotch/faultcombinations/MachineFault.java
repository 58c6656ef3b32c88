package io.embernotch.faultcombinations;

import io.embernotch.testkit.FakeWorker;

/** What keeps controllers from commanding a machine. */
enum MachineFault {
  PARTITIONED,
  HUNG,
  INBOUND_PARTITIONED;

  /** Begins this fault on a machine, and ends any other of these. */
  void applyTo(FakeWorker worker) {
    worker.partitioned = this == PARTITIONED;
    worker.hung = this == HUNG;
    worker.inboundPartitioned = this == INBOUND_PARTITIONED;
  }

  /** Ends all of these faults on a machine. */
  static void clear(FakeWorker worker) {
    worker.partitioned = false;
    worker.inboundPartitioned = false;
    worker.resume();
  }
}
