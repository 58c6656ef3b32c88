/**
 * A replica, in each controller, of what the store holds of jobs and shared state, and what
 * controllers tell each other of it when the store has lost data. It sends and receives, and knows
 * how current the replica is; when a restore is made, and by whom, is decided in {@code
 * incarnation}. It never answers users and never writes to the store.
 */
package io.embernotch.replication;
