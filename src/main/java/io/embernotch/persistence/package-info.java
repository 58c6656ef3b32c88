/**
 * Keeps the progress of jobs in the store.
 *
 * <p>Owns which keys a job's progress is kept under ({@link
 * io.embernotch.persistence.ShardLayout}), when and in which order changed shards are written
 * ({@link io.embernotch.persistence.StateWriter}), and how a job is read back. Every write
 * conditions on the leader's key and on the shard's own modification revision.
 *
 * <p>It must not decide what becomes of a job, and it must not change jobs, except for the marks of
 * what is known to be persisted. How values are encoded is the codec's business.
 *
 * <p>Everything here is owned by the process's event loop.
 */
package io.embernotch.persistence;
