package io.embernotch.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.model.MachineType;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Requests to the cloud's interface and its replies. */
public final class CloudCodec {
  /** Name of a machine type. */
  private static final String TYPE_NAME = "name";

  /** Size of a machine's image cache in GB. */
  private static final String CACHE_GB = "local_gb";

  /** Speed at which a machine fetches images, in GB per second. */
  private static final String FETCH_GB_PER_S = "fetch_gb_per_s";

  /** Price of a machine per hour. */
  private static final String PRICE = "rate";

  /** Price of a spot machine per hour. */
  private static final String SPOT_PRICE = "market_price";

  /** Time that a machine takes to boot, in seconds. */
  private static final String BOOT_S = "boot_s";

  /** Seconds since a machine was rented. */
  private static final String AGE_S = "age_s";

  /** Whether another page of the machine list follows. */
  private static final String MORE_PAGES = "truncated";

  /** Idempotency key of a rental. */
  private static final String BOOKING = "booking";

  /** Number of machines to rent. */
  private static final String NUMBER = "number";

  /** Phase of a machine that runs. */
  private static final String RUNNING = "running";

  /** Phase of a machine that has stopped on its own. */
  private static final String FAILED = "failed";

  private CloudCodec() {}

  /**
   * One machine in the cloud's list.
   *
   * @param name unique name of the machine
   * @param address address of its worker as HOST:PORT; null while it has none
   * @param type name of its machine type
   * @param zone zone it is in
   * @param spot whether the cloud may reclaim it
   * @param phase the cloud's name of its state; see {@link #running} and {@link #failed}
   * @param ageS seconds since it was rented
   */
  public record ListedMachine(
      String name,
      String address,
      String type,
      String zone,
      boolean spot,
      String phase,
      double ageS) {
    /** Whether the cloud says that it runs. */
    public boolean running() {
      return phase.equals(RUNNING);
    }

    /** Whether the cloud says that it has failed. */
    public boolean failed() {
      return phase.equals(FAILED);
    }
  }

  /**
   * One page of the machine list.
   *
   * @param machines the machines of this page, in the cloud's order
   * @param more whether another page follows
   */
  public record MachinePage(List<ListedMachine> machines, boolean more) {}

  /**
   * Reads the list of machine types.
   *
   * @throws MalformedInputException if a field is missing or of another type
   */
  public static List<MachineType> readTypes(JsonNode json) {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode entry : Json.need(json, WireFields.TYPES)) {
      types.add(readType(entry));
    }
    return types;
  }

  private static MachineType readType(JsonNode entry) {
    List<String> zones = new ArrayList<>();
    for (JsonNode zone : Json.need(entry, WireFields.ZONES)) {
      zones.add(zone.asText());
    }
    double price = Json.amount(entry, PRICE);
    return new MachineType(
        Json.text(entry, TYPE_NAME),
        Json.amount(entry, WireFields.CPUS),
        Json.amountOr(entry, WireFields.GPUS, 0),
        Json.amount(entry, WireFields.MEM_GB),
        Json.amountOr(entry, CACHE_GB, 0),
        Json.amountOr(entry, FETCH_GB_PER_S, 0),
        price,
        Json.amountOr(entry, SPOT_PRICE, price),
        Json.amount(entry, BOOT_S),
        List.copyOf(zones));
  }

  /** The list of machine types as {@link #readTypes} reads it. */
  public static ObjectNode writeTypes(Collection<MachineType> types) {
    ObjectNode json = Json.object();
    ArrayNode list = json.putArray(WireFields.TYPES);
    for (MachineType type : types) {
      ObjectNode entry = list.addObject();
      entry.put(TYPE_NAME, type.name());
      entry.put(WireFields.CPUS, type.cpus());
      entry.put(WireFields.GPUS, type.gpus());
      entry.put(WireFields.MEM_GB, type.memGb());
      entry.put(CACHE_GB, type.cacheGb());
      entry.put(FETCH_GB_PER_S, type.fetchGbPerS());
      entry.put(PRICE, type.price());
      entry.put(SPOT_PRICE, type.spotPrice());
      entry.put(BOOT_S, type.bootS());
      ArrayNode zones = entry.putArray(WireFields.ZONES);
      type.zones().forEach(zones::add);
    }
    return json;
  }

  /**
   * Reads one page of the machine list.
   *
   * @throws MalformedInputException if a field is missing or of another type
   */
  public static MachinePage readPage(JsonNode json) {
    List<ListedMachine> machines = new ArrayList<>();
    for (JsonNode entry : Json.need(json, WireFields.MACHINES)) {
      machines.add(
          new ListedMachine(
              Json.text(entry, WireFields.REF),
              Json.opt(entry, WireFields.ADDRESS) == null
                  ? null
                  : Json.text(entry, WireFields.ADDRESS),
              Json.text(entry, WireFields.TYPE),
              Json.text(entry, WireFields.ZONE),
              Json.flagOr(entry, WireFields.SPOT, false),
              Json.text(entry, WireFields.PHASE),
              Json.amountOr(entry, AGE_S, 0)));
    }
    return new MachinePage(machines, Json.flagOr(json, MORE_PAGES, false));
  }

  /**
   * The body of a rental request.
   *
   * @param booking idempotency key: repeated, it gives the same answer and rents nothing more
   * @param type name of the machine type
   * @param zone zone to rent in
   * @param spot whether to rent spot machines
   * @param number how many machines
   */
  public static byte[] rentRequest(
      String booking, String type, String zone, boolean spot, int number) {
    return Json.bytes(
        Json.object()
            .put(BOOKING, booking)
            .put(WireFields.TYPE, type)
            .put(WireFields.ZONE, zone)
            .put(WireFields.SPOT, spot)
            .put(NUMBER, number));
  }

  /**
   * Reads the names of the machines that a rental gave.
   *
   * @throws MalformedInputException if the list is missing
   */
  public static List<String> readRented(JsonNode json) {
    List<String> names = new ArrayList<>();
    for (JsonNode name : Json.need(json, WireFields.MACHINES)) {
      names.add(name.asText());
    }
    return names;
  }

  /** The body of a deletion request for the machines with these names. */
  public static byte[] deleteRequest(List<String> names) {
    ObjectNode json = Json.object();
    ArrayNode list = json.putArray(WireFields.MACHINES);
    names.forEach(list::add);
    return Json.bytes(json);
  }
}
