/**
 * @file What part of this balancer's new flows does each zone get? All go to the local zone as long as it holds as
 * much of the capacity as of the traffic; the rest goes to the zones that hold more capacity than traffic. A zone
 * that reports more use than the mean counts as smaller.
 *
 * Inputs: capacity (connections) and use (0 to 1) of each zone, and the part of all traffic that comes to the local
 * zone's balancers (0 to 1). Returns parts that add up to 1. The balancers of other zones are taken as evenly spread.
 */

/**
 * How strongly a zone's use over the mean makes it count as smaller, and the bounds of that factor. Not measured;
 * wrong if the connections of two zones swing against each other, or stay apart while their reports are believed.
 */
const OVERUSE_GAIN = 1;
const MIN_CAPACITY_FACTOR = 0.1;
const MAX_CAPACITY_FACTOR = 1.5;
/** Added to each use, so that a few flows on idle back ends make no difference. Not measured. */
const IDLE_USE = 0.02;

/** The candidates of one zone, taken together. */
export interface ZoneCapacity {
  readonly zone: string;
  /** Connections that its candidates may hold, less where they are in slow start. */
  readonly capacity: number;
  /** Reported connections over limits, 0 to 1. */
  readonly use: number;
}

/**
 * @param zones at least one, each once
 * @param localTraffic the part of all traffic that comes to the balancers of the local zone, 0 to 1
 * @returns for each zone the part of this balancer's new flows, in the same order; they add up to 1
 */
export function shareOverZones(
  zones: readonly ZoneCapacity[],
  localZone: string,
  localTraffic: number,
): number[] {
  const capacities = capacityParts(zones);
  const localIndex = zones.findIndex(({ zone }) => zone === localZone);
  if (localIndex < 0) {
    return capacities;
  }
  const localPart = capacities[localIndex] ?? 0;
  const kept = Math.min(1, localPart / localTraffic);
  const remoteTraffic = (1 - localTraffic) / Math.max(1, zones.length - 1);
  const room = capacities.map((part, index) =>
    index === localIndex ? 0 : Math.max(0, part - remoteTraffic),
  );
  const totalRoom = sum(room);
  if (totalRoom === 0) {
    return zones.map((_, index) => (index === localIndex ? 1 : 0));
  }
  return room.map((part, index) => (index === localIndex ? kept : ((1 - kept) * part) / totalRoom));
}

/** Each zone's part of the capacity, less where it reports more use than the others. */
function capacityParts(zones: readonly ZoneCapacity[]): number[] {
  const total = sum(zones.map(({ capacity }) => capacity));
  const meanUse = sum(zones.map(({ capacity, use }) => capacity * use)) / total;
  const effective = zones.map(({ capacity, use }) => {
    const pressure = (use + IDLE_USE) / (meanUse + IDLE_USE);
    const factor = 1 - OVERUSE_GAIN * (pressure - 1);
    return capacity * Math.min(MAX_CAPACITY_FACTOR, Math.max(MIN_CAPACITY_FACTOR, factor));
  });
  const effectiveTotal = sum(effective);
  return effective.map((capacity) => capacity / effectiveTotal);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
