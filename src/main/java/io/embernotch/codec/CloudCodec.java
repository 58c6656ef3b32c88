package io.embernotch.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.model.MachineType;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Encodes requests to the cloud API and reads its responses. */
public final class CloudCodec {
  /** Name of a machine type. */
  private static final String TYPE_NAME = "name";

  /** Size of a machine's image cache in GB. */
  private static final String CACHE_GB = "local_gb";

  /** Rate at which a machine fetches images, in GB per second. */
  private static final String FETCH_GB_PER_S = "fetch_gb_per_s";

  /** Price of a machine per hour. */
  private static final String PRICE = "rate";

  /** Price of a spot machine per hour. */
  private static final String SPOT_PRICE = "market_price";

  /** Time that a machine takes to boot, in seconds. */
  private static final String BOOT_S = "boot_s";

  /** Seconds since the machine was rented. */
  private static final String AGE_S = "age_s";

  /** Whether another page of the machine list follows; absent means false. */
  private static final String MORE_PAGES = "truncated";

  /** Idempotency key of a rental request. */
  private static final String IDEMPOTENCY_KEY = "booking";

  /** Number of machines to rent. */
  private static final String MACHINE_COUNT = "number";

  /** Phase of a running machine. */
  private static final String RUNNING = "running";

  /** Phase of a machine that has stopped without a deletion request. */
  private static final String FAILED = "failed";

  private CloudCodec() {}

  /**
   * A machine in the cloud's machine list.
   *
   * @param name unique name of the machine
   * @param address address of its worker as HOST:PORT; null until it has one
   * @param type name of its machine type
   * @param zone name of its zone
   * @param spot whether the cloud may reclaim it
   * @param phase state of the machine as the cloud names it; see {@link #running} and {@link
   *     #failed}
   * @param ageS seconds since it was rented; 0 if the cloud does not report it
   */
  public record ListedMachine(
      String name,
      String address,
      String type,
      String zone,
      boolean spot,
      String phase,
      double ageS) {
    /** Returns whether the cloud reports the machine as running. */
    public boolean running() {
      return phase.equals(RUNNING);
    }

    /** Returns whether the cloud reports the machine as failed. */
    public boolean failed() {
      return phase.equals(FAILED);
    }
  }

  /**
   * A page of the cloud's machine list.
   *
   * @param machines machines on this page, in the cloud's order
   * @param more whether another page follows
   */
  public record MachinePage(List<ListedMachine> machines, boolean more) {}

  /**
   * Reads the list of machine types.
   *
   * @throws MalformedInputException if a field is missing or has the wrong type
   */
  public static List<MachineType> readTypes(JsonNode json) {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode entry : Json.required(json, WireFields.TYPES)) {
      types.add(readType(entry));
    }
    return types;
  }

  private static MachineType readType(JsonNode entry) {
    List<String> zones = new ArrayList<>();
    for (JsonNode zone : Json.required(entry, WireFields.ZONES)) {
      zones.add(zone.asText());
    }
    double price = Json.nonNegativeDouble(entry, PRICE);
    return new MachineType(
        Json.text(entry, TYPE_NAME),
        Json.nonNegativeDouble(entry, WireFields.CPUS),
        Json.nonNegativeDoubleOr(entry, WireFields.GPUS, 0),
        Json.nonNegativeDouble(entry, WireFields.MEM_GB),
        Json.nonNegativeDoubleOr(entry, CACHE_GB, 0),
        Json.nonNegativeDoubleOr(entry, FETCH_GB_PER_S, 0),
        price,
        Json.nonNegativeDoubleOr(entry, SPOT_PRICE, price),
        Json.nonNegativeDouble(entry, BOOT_S),
        List.copyOf(zones));
  }

  /** Encodes a list of machine types for {@link #readTypes}. */
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
   * Reads a page of the machine list.
   *
   * @throws MalformedInputException if a field is missing or has the wrong type
   */
  public static MachinePage readPage(JsonNode json) {
    List<ListedMachine> machines = new ArrayList<>();
    for (JsonNode entry : Json.required(json, WireFields.MACHINES)) {
      machines.add(
          new ListedMachine(
              Json.text(entry, WireFields.REF),
              Json.optional(entry, WireFields.ADDRESS) == null
                  ? null
                  : Json.text(entry, WireFields.ADDRESS),
              Json.text(entry, WireFields.TYPE),
              Json.text(entry, WireFields.ZONE),
              Json.boolOr(entry, WireFields.SPOT, false),
              Json.text(entry, WireFields.PHASE),
              Json.nonNegativeDoubleOr(entry, AGE_S, 0)));
    }
    return new MachinePage(machines, Json.boolOr(json, MORE_PAGES, false));
  }

  /**
   * Encodes the body of a rental request.
   *
   * @param idempotencyKey identifies the rental: a repeated request gets the same response and
   *     rents no further machines
   * @param type name of the machine type
   * @param zone name of the zone to rent in
   * @param spot whether to rent spot machines
   * @param machineCount number of machines to rent
   */
  public static byte[] rentRequest(
      String idempotencyKey, String type, String zone, boolean spot, int machineCount) {
    return Json.bytes(
        Json.object()
            .put(IDEMPOTENCY_KEY, idempotencyKey)
            .put(WireFields.TYPE, type)
            .put(WireFields.ZONE, zone)
            .put(WireFields.SPOT, spot)
            .put(MACHINE_COUNT, machineCount));
  }

  /**
   * Reads the names of the rented machines from the response to a rental request.
   *
   * @throws MalformedInputException if the list is missing
   */
  public static List<String> readRented(JsonNode json) {
    List<String> names = new ArrayList<>();
    for (JsonNode name : Json.required(json, WireFields.MACHINES)) {
      names.add(name.asText());
    }
    return names;
  }

  /** Encodes the body of a request to delete the machines with the given names. */
  public static byte[] deleteRequest(List<String> names) {
    ObjectNode json = Json.object();
    ArrayNode list = json.putArray(WireFields.MACHINES);
    names.forEach(list::add);
    return Json.bytes(json);
  }
}
