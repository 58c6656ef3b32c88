/**
 * Client of the external key-value store that holds the cluster's state.
 *
 * <p>Owns everything that is particular to the store's protocol: its paths and field names, its
 * rate limits, retries of throttled requests, paged reads, watches, transactions and leases, and
 * the proof that the store has lost data. Failures leave this package as {@link
 * io.embernotch.store.StoreException}, told apart by their kind.
 *
 * <p>It must not know what keys or values mean, and it does not decide what follows from a loss of
 * data: it reports one to its {@link io.embernotch.store.StoreClient.LossListener}.
 *
 * <p>Everything here runs on the process's event loop, except {@link
 * io.embernotch.store.LeaseRenewer}, which has a loop of its own.
 */
package io.embernotch.store;
