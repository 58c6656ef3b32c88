package io.embernotch.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.model.Job;

/**
 * A submission that passed the checks that need no store.
 *
 * @param job the new job
 * @param value what {@code job/REF} is to hold
 * @param body the request's body, as another controller is to get it
 * @param mayForward false if another controller has forwarded it to this one
 */
@SuppressWarnings("ArrayRecordComponent") // The bytes are passed on and never compared.
record Submission(Job job, ObjectNode value, byte[] body, boolean mayForward) {
  String ref() {
    return job.spec.ref();
  }
}
