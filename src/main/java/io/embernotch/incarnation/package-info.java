/**
 * Tracks which incarnation of the store's contents this controller knows, and begins a new one
 * after a loss of data.
 *
 * <p>Owns the incarnation's pointer and fence keys and the blocks of its base snapshot in the
 * store, the decision that data is lost, and what a claim to leadership must add to begin an
 * incarnation ({@link io.embernotch.incarnation.StoreIncarnationTracker}), along with the writing
 * of the snapshot that it begins with ({@link io.embernotch.incarnation.StoreRestorer}).
 *
 * <p>It must not elect leaders or change the cluster's state: it tells its host what it has found,
 * and the election asks it for the terms of a claim.
 *
 * <p>Everything here is owned by the process's event loop.
 */
package io.embernotch.incarnation;
