/**
 * What any controller does for users without being the leader: it accepts submissions, checks that
 * they can run, reads a job's status from the store while no leader answers, repeats known ends of
 * jobs, and limits the rate of polls.
 *
 * <p>Everything here runs on the controller's event loop; nothing blocks. The only keys that this
 * package writes are submissions, and those only if they are absent. It must not change the
 * progress of jobs or the leader's state.
 */
package io.embernotch.api;
