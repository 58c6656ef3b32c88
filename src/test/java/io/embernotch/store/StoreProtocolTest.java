package io.embernotch.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.codec.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests answers with values that are not JSON objects. Such a value failed the whole answer with a
 * ClassCastException, so that a new leader could not load the state; in a watch it was decoded as a
 * deletion.
 */
class StoreProtocolTest {
  private static ObjectNode parse(String json) {
    return Json.parseObject(json.getBytes(StandardCharsets.UTF_8));
  }

  @ParameterizedTest
  @ValueSource(strings = {"3", "\"x\"", "[]", "null", "true"})
  void aValueThatIsNotAnObjectIsPresentAndTheOtherEntriesAreRead(String value) {
    List<VersionedEntry> page =
        StoreProtocol.readPage(
            parse(
                "{\"pairs\":[{\"key\":\"run/j-1\",\"v\":"
                    + value
                    + ",\"stamp\":4},{\"key\":\"run/j-2\",\"v\":{\"next\":3},\"stamp\":5}]}"));
    assertThat(page).extracting(VersionedEntry::present).containsExactly(true, true);
    assertThat(page.get(0).value().has("next")).isFalse();
    WatchEvents events =
        StoreProtocol.readEvents(
            parse(
                "{\"epoch\":9,\"events\":[{\"write\":\"run/j-1\",\"v\":"
                    + value
                    + ",\"stamp\":4},{\"drop\":\"run/j-2\",\"stamp\":5}]}"));
    assertThat(events.events()).extracting(VersionedEntry::present).containsExactly(true, false);
  }

  @Test
  void aPageWithEntriesThatAreNotObjectsIsReportedAsMalformed() {
    assertThatThrownBy(() -> StoreProtocol.readPage(parse("{\"pairs\":[3]}")))
        .isInstanceOf(MalformedInputException.class);
  }
}
