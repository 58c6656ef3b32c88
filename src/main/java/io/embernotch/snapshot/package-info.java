/**
 * Snapshots of the cluster's state: what the store is to hold, made from a leader's cluster state
 * or from what is left in the store, merged, packed into blocks, and laid under the keys of an
 * incarnation.
 *
 * <p>The package owns the meaning of the snapshot messages and the rules by which two snapshots, or
 * a snapshot and the store's keys, are combined. It does no input or output: reading and writing
 * the store is up to {@code incarnation}, files are in {@code snapshot.file}. Nothing here decides
 * whether data is lost.
 */
package io.embernotch.snapshot;
