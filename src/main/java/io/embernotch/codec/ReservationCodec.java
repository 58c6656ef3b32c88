package io.embernotch.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.model.JobShape;
import io.embernotch.model.Priority;
import io.embernotch.settings.Reservation;
import io.embernotch.settings.Selector;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Encodes reservations as shared state entries: their definitions ("terms"), and the amounts that
 * are reserved on each machine.
 */
public final class ReservationCodec {
  /** Generation of the reservation settings. */
  private static final String GENERATION = "gen";

  /** List of reservations. */
  private static final String TERMS = "terms";

  /** Name of a reservation. */
  private static final String NAME = "name";

  /** Number of whole machines. */
  private static final String MACHINES = "machines";

  /** Number of CPUs. */
  private static final String CPUS = "cpus";

  /** Number of GPUs. */
  private static final String GPUS = "gpus";

  /** Memory in GB. */
  private static final String MEM_GB = "mem";

  /** Headroom as a share of the resources that the work uses. */
  private static final String SHARE = "share";

  /** Headroom in standard deviations of the work's growth. */
  private static final String DEVIATIONS = "dev";

  /** Selectors of the work that a reservation serves. */
  private static final String SERVES = "serves";

  /** Machine types that a reservation may use. */
  private static final String TYPES = "types";

  /** Minimum share of the headroom by zone. */
  private static final String ZONES = "zones";

  /** Priority that a selector matches; absent for any. */
  private static final String PRIORITY = "priority";

  /** Shape that a selector matches; absent for any. */
  private static final String SHAPE = "shape";

  /** Team that a selector matches; null for any. */
  private static final String TEAM = "team";

  /** Job class that a selector matches; null for any. */
  private static final String JOB_CLASS = "class";

  /** Reserved amounts by machine. */
  private static final String RESERVED = "on";

  /** Stored units per CPU, GPU or GB: reserved amounts are stored as integers. */
  private static final double STORED_UNITS_PER_AMOUNT = 1000.0;

  /** Reserved amounts per machine: CPUs, GPUs and memory. */
  private static final int AMOUNT_COUNT = 3;

  private ReservationCodec() {}

  /** Encodes the terms of all reservations. */
  public static ObjectNode writeTerms(long generation, List<Reservation> terms) {
    ObjectNode json = Json.object().put(GENERATION, generation);
    ArrayNode list = json.putArray(TERMS);
    for (Reservation reservation : terms) {
      ObjectNode entry =
          list.addObject()
              .put(NAME, reservation.name())
              .put(MACHINES, reservation.machines())
              .put(CPUS, reservation.cpus())
              .put(GPUS, reservation.gpus())
              .put(MEM_GB, reservation.memGb())
              .put(SHARE, reservation.share())
              .put(DEVIATIONS, reservation.deviations());
      ArrayNode serves = entry.putArray(SERVES);
      reservation.serves().forEach(selector -> serves.add(writeSelector(selector)));
      ArrayNode types = entry.putArray(TYPES);
      reservation.types().forEach(types::add);
      ObjectNode zones = entry.putObject(ZONES);
      reservation.zones().forEach(zones::put);
    }
    return json;
  }

  /** Encodes a selector. */
  public static ObjectNode writeSelector(Selector selector) {
    ObjectNode json = Json.object();
    if (selector.priority() != null) {
      json.put(PRIORITY, selector.priority().name());
    }
    if (selector.shape() != null) {
      json.put(SHAPE, selector.shape().name());
    }
    return json.put(TEAM, selector.team()).put(JOB_CLASS, selector.jobClass());
  }

  /**
   * Reads a selector.
   *
   * @throws MalformedInputException if its priority or shape is unknown
   */
  public static Selector readSelector(JsonNode json) {
    try {
      return new Selector(
          json.has(PRIORITY) ? Priority.valueOf(json.get(PRIORITY).asText()) : null,
          json.has(SHAPE) ? JobShape.valueOf(json.get(SHAPE).asText()) : null,
          json.path(TEAM).asText(null),
          json.path(JOB_CLASS).asText(null));
    } catch (IllegalArgumentException e) {
      throw new MalformedInputException("selector: " + e.getMessage());
    }
  }

  /**
   * Reads the terms of all reservations.
   *
   * @throws MalformedInputException if the list or a name is missing, or a selector is malformed
   */
  public static List<Reservation> readTerms(JsonNode json) {
    List<Reservation> terms = new ArrayList<>();
    for (JsonNode entry : Json.required(json, TERMS)) {
      terms.add(readReservation(entry));
    }
    return terms;
  }

  private static Reservation readReservation(JsonNode entry) {
    List<Selector> serves = new ArrayList<>();
    entry.path(SERVES).forEach(selector -> serves.add(readSelector(selector)));
    List<String> types = new ArrayList<>();
    entry.path(TYPES).forEach(type -> types.add(type.asText()));
    Map<String, Double> zones = new LinkedHashMap<>();
    entry
        .path(ZONES)
        .fields()
        .forEachRemaining(zone -> zones.put(zone.getKey(), zone.getValue().asDouble()));
    return new Reservation(
        Json.required(entry, NAME).asText(),
        serves,
        entry.path(MACHINES).asInt(),
        entry.path(CPUS).asDouble(),
        entry.path(GPUS).asDouble(),
        entry.path(MEM_GB).asDouble(),
        entry.path(SHARE).asDouble(),
        entry.path(DEVIATIONS).asDouble(),
        types,
        zones);
  }

  /**
   * Encodes the amounts that are reserved on machines.
   *
   * @param reserved CPUs, GPUs and memory in GB by machine; rounded to a thousandth
   */
  public static ObjectNode writeReserved(Map<String, double[]> reserved) {
    ObjectNode json = Json.object();
    ObjectNode byMachine = json.putObject(RESERVED);
    new TreeMap<>(reserved)
        .forEach(
            (machine, amounts) -> {
              ArrayNode list = byMachine.putArray(machine);
              for (double amount : amounts) {
                list.add(Math.round(amount * STORED_UNITS_PER_AMOUNT));
              }
            });
    return json;
  }

  /** Reads the reserved amounts by machine: CPUs, GPUs and memory in GB. */
  public static Map<String, double[]> readReserved(JsonNode json) {
    Map<String, double[]> reserved = new TreeMap<>();
    json.path(RESERVED)
        .fields()
        .forEachRemaining(
            field -> {
              double[] amounts = new double[AMOUNT_COUNT];
              for (int i = 0; i < AMOUNT_COUNT; i++) {
                amounts[i] = field.getValue().path(i).asLong() / STORED_UNITS_PER_AMOUNT;
              }
              reserved.put(field.getKey(), amounts);
            });
    return reserved;
  }
}
