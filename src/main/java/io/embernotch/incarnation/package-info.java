/**
 * Detects data loss in the store and restores what was lost.
 *
 * <p>An incarnation is one continuous lifetime of the store's contents. The first one begins when
 * the first leader finds an empty store, another one after each data loss.
 *
 * <p>{@link io.embernotch.incarnation.StoreIncarnationTracker} tracks the incarnation, detects data
 * loss and adds the operations that begin an incarnation to a claim to leadership. {@link
 * io.embernotch.incarnation.StoreRestorer} writes the snapshot that a new incarnation begins with.
 * This package owns these keys of the store: the pointer to the current incarnation, the fence key
 * that every transaction conditions on, and the blocks of the base snapshot.
 *
 * <p>This package neither elects leaders nor changes the cluster's state. It reports data loss to
 * its host, and the election asks it for the conditions of a claim.
 *
 * <p>All classes of this package run on the process's event loop.
 */
package io.embernotch.incarnation;
