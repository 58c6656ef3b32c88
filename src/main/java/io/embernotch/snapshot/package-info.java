/**
 * Snapshots of the cluster's jobs and shared state. They are taken from a leader's cluster state or
 * from what is left in the store, merged, packed into blocks for the store, and overlaid with the
 * keys that an incarnation has written since.
 *
 * <p>The package owns the meaning of the snapshot messages and the rules for combining two
 * snapshots, or a snapshot and the store's keys. It does no input or output: {@code incarnation}
 * reads and writes the store, {@code snapshot.file} reads and writes files. The package does not
 * decide whether data is lost.
 */
package io.embernotch.snapshot;
