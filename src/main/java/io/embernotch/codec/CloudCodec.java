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
  public record Listed(
      String name,
      String address,
      String type,
      String zone,
      boolean spot,
      String phase,
      double ageS) {}

  /** One page of the machine list; {@code more}: another page follows. */
  public record Page(List<Listed> machines, boolean more) {}

  public static List<MachineType> types(JsonNode o) {
    JsonNode list = Json.need(o, "flavors");
    List<MachineType> out = new ArrayList<>();
    for (JsonNode t : list) {
      List<String> zones = new ArrayList<>();
      for (JsonNode z : Json.need(t, "rooms")) {
        zones.add(z.asText());
      }
      double price = Json.amount(t, "rate");
      out.add(
          new MachineType(
              Json.text(t, "name"),
              Json.amount(t, "cores"),
              Json.opt(t, "cards") == null ? 0 : Json.amount(t, "cards"),
              Json.amount(t, "mem_gb"),
              Json.opt(t, "local_gb") == null ? 0 : Json.amount(t, "local_gb"),
              Json.opt(t, "fetch_gb_per_s") == null ? 0 : Json.amount(t, "fetch_gb_per_s"),
              price,
              Json.opt(t, "market_price") == null ? price : Json.amount(t, "market_price"),
              Json.amount(t, "boot_s"),
              List.copyOf(zones)));
    }
    return out;
  }

  public static ObjectNode writeTypes(Collection<MachineType> types) {
    ObjectNode o = Json.object();
    ArrayNode list = o.putArray("flavors");
    for (MachineType type : types) {
      ObjectNode n = list.addObject();
      n.put("name", type.name())
          .put("cores", type.cpus())
          .put("cards", type.gpus())
          .put("mem_gb", type.memGb());
      n.put("local_gb", type.cacheGb()).put("fetch_gb_per_s", type.fetchGbPerS());
      n.put("rate", type.price()).put("market_price", type.spotPrice()).put("boot_s", type.bootS());
      ArrayNode zones = n.putArray("rooms");
      type.zones().forEach(zones::add);
    }
    return o;
  }

  public static Page page(JsonNode o) {
    List<Listed> out = new ArrayList<>();
    for (JsonNode m : Json.need(o, "hearths")) {
      out.add(
          new Listed(
              Json.text(m, "ref"),
              Json.opt(m, "address") == null ? null : Json.text(m, "address"),
              Json.text(m, "flavor"),
              Json.text(m, "room"),
              Json.flagOr(m, "loaner", false),
              Json.text(m, "phase"),
              Json.opt(m, "age_s") == null ? 0 : Json.amount(m, "age_s")));
    }
    return new Page(out, Json.flagOr(o, "truncated", false));
  }

  public static byte[] rent(String booking, String type, String zone, boolean spot, int number) {
    return Json.bytes(
        Json.object()
            .put("booking", booking)
            .put("flavor", type)
            .put("room", zone)
            .put("loaner", spot)
            .put("number", number));
  }

  public static List<String> rented(JsonNode o) {
    List<String> out = new ArrayList<>();
    for (JsonNode n : Json.need(o, "hearths")) {
      out.add(n.asText());
    }
    return out;
  }

  public static byte[] delete(List<String> names) {
    ObjectNode o = Json.object();
    ArrayNode list = o.putArray("hearths");
    names.forEach(list::add);
    return Json.bytes(o);
  }
}
