package io.embernotch.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.context.ControllerContext;
import io.embernotch.context.LeastRecentlyUsed;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Submissions that this controller has written lately. If the store loses data, a leader that did
 * not know of them yet restores it without them, so they are written once more. Owned by the
 * controller's event loop.
 */
final class RecentSubmissions {
  private static final Logger LOG = LoggerFactory.getLogger(RecentSubmissions.class);

  private final ControllerContext context;
  private final SubmissionHandler.Host host;
  private final SubmissionWriter writer;
  private final double retryDelayS;

  /** By id: the value of {@code job/REF} as JSON. */
  private final Map<String, byte[]> values;

  /** Keeps as many submissions as can be written within a worker's lease. */
  RecentSubmissions(
      ControllerContext context,
      SubmissionHandler.Host host,
      SubmissionWriter writer,
      double retryDelayS) {
    this.context = context;
    this.host = host;
    this.writer = writer;
    this.retryDelayS = retryDelayS;
    this.values =
        new LeastRecentlyUsed<>(
            (int)
                Math.ceil(
                    context.settings().minStoreLimits().writeRps()
                        * context.settings().workers().leaseS()));
  }

  void add(String ref, ObjectNode value) {
    values.put(ref, Json.bytes(value));
  }

  boolean contains(String ref) {
    return values.containsKey(ref);
  }

  /** A new incarnation has begun: writes the submissions that it did not begin with. */
  void restoreLost() {
    for (Map.Entry<String, byte[]> entry : values.entrySet()) {
      if (!host.baseSnapshot().containsJob(entry.getKey())) {
        ObjectNode value = Json.parseObject(entry.getValue());
        rewrite(entry.getKey(), value.put(JobProgressCodec.REWRITTEN_AFTER_LOSS, true));
      }
    }
  }

  /** Retries until the write is answered or yet another incarnation begins. */
  private void rewrite(String ref, ObjectNode value) {
    String incarnation = host.incarnationName();
    writer.requestSlot(
        () ->
            writer
                .create(ref, value)
                .onSuccess(
                    result -> {
                      if (result.applied()) {
                        LOG.info(
                            "job {} was accepted shortly before the loss, and is written again",
                            ref);
                        host.submissionAccepted(
                            JobProgressCodec.readJob(value), value, result.revision());
                      }
                    })
                .onFailure(
                    e ->
                        context
                            .timers()
                            .after(retryDelayS, () -> rewriteIfStill(incarnation, ref, value))));
  }

  private void rewriteIfStill(String incarnation, String ref, ObjectNode value) {
    if (host.incarnationName().equals(incarnation)) {
      rewrite(ref, value);
    }
  }
}
