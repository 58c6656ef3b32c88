/**
 * A whole cluster in one process on a fake clock, for tests: controllers as they are, and fakes of
 * the store, the cloud, the workers, the users and the network between them.
 *
 * <p>{@link io.embernotch.testkit.SimulatedCluster} is the entry. It owns the clock and everything
 * on it, and checks the invariants of the protocol while time passes ({@link
 * io.embernotch.testkit.InvariantChecker}). The fakes know the protocol only: they must not look
 * into controllers, nor use more of the program than its codecs, models and settings.
 */
package io.embernotch.testkit;
