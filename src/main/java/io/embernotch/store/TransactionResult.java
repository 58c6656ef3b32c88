package io.embernotch.store;

import java.util.Set;

/**
 * The result of a transaction that the store answered.
 *
 * @param applied whether all conditions held and the operations were applied
 * @param revision the revision at which it was applied or its conditions were checked
 * @param conflicts keys whose conditions did not hold; empty if it was applied
 */
public record TransactionResult(boolean applied, long revision, Set<String> conflicts) {}
