package io.embernotch.store;

import java.util.Set;

/**
 * The result of an answered transaction.
 *
 * @param applied whether it was applied
 * @param revision the revision that it was applied at, or that its conditions were compared at
 * @param conflicts keys whose conditions did not hold; empty if it was applied
 */
public record TransactionResult(boolean applied, long revision, Set<String> conflicts) {}
