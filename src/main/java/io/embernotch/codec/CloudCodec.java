package io.embernotch.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.model.MachineType;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** What the cloud says of types and machines, and what it is asked. */
public final class CloudCodec {
  private CloudCodec() {}

  /** One machine in a list. */
  public record ListedMachine(
      String name,
      String address,
      String type,
      String zone,
      boolean spot,
      String phase,
      double ageS) {}

  /** One page of the machine list; {@code more}: another page follows. */
  public record MachinePage(List<ListedMachine> machines, boolean more) {}

  public static List<MachineType> readTypes(JsonNode json) {
    JsonNode list = Json.need(json, "flavors");
    List<MachineType> out = new ArrayList<>();
    for (JsonNode entry : list) {
      List<String> zones = new ArrayList<>();
      for (JsonNode zone : Json.need(entry, "rooms")) {
        zones.add(zone.asText());
      }
      double price = Json.amount(entry, "rate");
      out.add(
          new MachineType(
              Json.text(entry, "name"),
              Json.amount(entry, "cores"),
              Json.opt(entry, "cards") == null ? 0 : Json.amount(entry, "cards"),
              Json.amount(entry, "mem_gb"),
              Json.opt(entry, "local_gb") == null ? 0 : Json.amount(entry, "local_gb"),
              Json.opt(entry, "fetch_gb_per_s") == null ? 0 : Json.amount(entry, "fetch_gb_per_s"),
              price,
              Json.opt(entry, "market_price") == null ? price : Json.amount(entry, "market_price"),
              Json.amount(entry, "boot_s"),
              List.copyOf(zones)));
    }
    return out;
  }

  public static ObjectNode writeTypes(Collection<MachineType> types) {
    ObjectNode json = Json.object();
    ArrayNode list = json.putArray("flavors");
    for (MachineType type : types) {
      ObjectNode entry = list.addObject();
      entry
          .put("name", type.name())
          .put("cores", type.cpus())
          .put("cards", type.gpus())
          .put("mem_gb", type.memGb());
      entry.put("local_gb", type.cacheGb()).put("fetch_gb_per_s", type.fetchGbPerS());
      entry
          .put("rate", type.price())
          .put("market_price", type.spotPrice())
          .put("boot_s", type.bootS());
      ArrayNode zones = entry.putArray("rooms");
      type.zones().forEach(zones::add);
    }
    return json;
  }

  public static MachinePage readPage(JsonNode json) {
    List<ListedMachine> out = new ArrayList<>();
    for (JsonNode entry : Json.need(json, "hearths")) {
      out.add(
          new ListedMachine(
              Json.text(entry, "ref"),
              Json.opt(entry, "address") == null ? null : Json.text(entry, "address"),
              Json.text(entry, "flavor"),
              Json.text(entry, "room"),
              Json.flagOr(entry, "loaner", false),
              Json.text(entry, "phase"),
              Json.opt(entry, "age_s") == null ? 0 : Json.amount(entry, "age_s")));
    }
    return new MachinePage(out, Json.flagOr(json, "truncated", false));
  }

  public static byte[] rentRequest(
      String booking, String type, String zone, boolean spot, int number) {
    return Json.bytes(
        Json.object()
            .put("booking", booking)
            .put("flavor", type)
            .put("room", zone)
            .put("loaner", spot)
            .put("number", number));
  }

  public static List<String> readRented(JsonNode json) {
    List<String> out = new ArrayList<>();
    for (JsonNode entry : Json.need(json, "hearths")) {
      out.add(entry.asText());
    }
    return out;
  }

  public static byte[] deleteRequest(List<String> names) {
    ObjectNode json = Json.object();
    ArrayNode list = json.putArray("hearths");
    names.forEach(list::add);
    return Json.bytes(json);
  }
}
