package io.embernotch.store;

import java.util.Set;

/** An answered transaction: applied at {@code epoch}, or not because of the {@code failed} keys. */
public record TransactionResult(boolean applied, long revision, Set<String> conflicts) {}
