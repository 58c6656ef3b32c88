/**
 * Client of the external key-value store that holds the cluster's state.
 *
 * <p>The package implements the store's protocol (paths and field names), rate limits, retries of
 * throttled requests, paged reads, watches, transactions, leases and the detection of lost data. It
 * reports failures as {@link io.embernotch.store.StoreException}, distinguished by their kind.
 *
 * <p>It must not interpret keys or values. It does not handle a loss of data, but reports it to its
 * {@link io.embernotch.store.StoreClient.LossListener}.
 *
 * <p>All classes are confined to the process's event loop, except {@link
 * io.embernotch.store.LeaseRenewer}, which has an event loop of its own.
 */
package io.embernotch.store;
