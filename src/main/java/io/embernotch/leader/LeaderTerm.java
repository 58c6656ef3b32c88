package io.embernotch.leader;

import io.embernotch.snapshot.BaseSnapshot;

/**
 * The term of a leader.
 *
 * @param epoch identifies the term across all store incarnations; increases from term to term
 * @param modRevision modification revision of the leader key, which is a condition of all commits
 * @param baseSnapshot the snapshot that the present store incarnation began with; keys of the store
 *     override it
 */
public record LeaderTerm(long epoch, long modRevision, BaseSnapshot baseSnapshot) {}
