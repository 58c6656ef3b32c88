package io.embernotch.leader;

import io.embernotch.snapshot.BaseSnapshot;

/**
 * The term of a leader.
 *
 * @param epoch names the term in all store incarnations; grows from term to term
 * @param modRevision modification revision of the leader key, which all commits condition on
 * @param baseSnapshot what the present store incarnation began with, beneath the store's keys
 */
public record LeaderTerm(long epoch, long modRevision, BaseSnapshot baseSnapshot) {}
