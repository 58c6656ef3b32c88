/**
 * Keeps a replica of the store's jobs and shared state in each controller, and exchanges these
 * contents between controllers when the store has lost data or a controller cannot read it.
 *
 * <p>The package owns the replica, the frames that keep it current, and the knowledge of how
 * current it is. When to restore the store, and which controller does it, is decided in {@code
 * incarnation}. The package never answers users and never writes to the store.
 */
package io.embernotch.replication;
