package io.embernotch.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.http.Answer;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.testkit.FakeTime;
import io.vertx.core.Future;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

class QuestionsTest implements PeerLink {
  private final FakeTime time = new FakeTime();
  private long lastId;

  private Questions life(String name) {
    Supplier<String> names = () -> name;
    return new Questions(time, this, names);
  }

  /**
   * Numbers that began at 1 in each life had the answer to one user's poll taken for that to
   * another's.
   */
  @Test
  void anAnswerToAFormerLifeAnswersNothingOfThisOne() {
    life("one").ask("c1", id -> new Frame.Ask(id, Frame.Ask.What.POLL, "j-1"), 2);
    long former = lastId;
    Questions now = life("two");
    Future<Answer> reply = now.ask("c1", id -> new Frame.Ask(id, Frame.Ask.What.POLL, "j-2"), 2);
    now.told(new Frame.Told(former, 200, 0, new byte[0]));
    assertThat(reply.isComplete()).isFalse();
    now.told(new Frame.Told(lastId, 404, 0, new byte[0]));
    assertThat(reply.result().status()).isEqualTo(404);
  }

  @Override
  public void onFrame(BiConsumer<Frame, Back> handler) {}

  @Override
  public void send(String node, Frame frame) {
    lastId = ((Frame.Ask) frame).id();
  }

  @Override
  public void renew(String node) {}
}
