/**
 * Keeps the progress of jobs in the store.
 *
 * <p>The package decides under which keys a job's progress is kept ({@link
 * io.embernotch.persistence.ShardLayout}) and when and in which order changed shards are written
 * ({@link io.embernotch.persistence.StateWriter}), and reads jobs from the store. Every write is
 * conditional on the modification revisions of the leader's key and of the shard.
 *
 * <p>It makes no decisions about jobs and changes nothing in them except the marks of persisted
 * progress. The codec package encodes the values.
 *
 * <p>All classes are confined to the process's event loop.
 */
package io.embernotch.persistence;
