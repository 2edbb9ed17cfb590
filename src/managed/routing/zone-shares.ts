/**
 * @file Distributes a balancer's new flows over zones. The local zone gets all of them unless its share of the
 * capacity is below its share of the traffic; the excess goes to zones with spare capacity. The traffic of the other
 * zones is assumed to be spread evenly.
 */

/** How strongly utilization above the mean reduces a zone's effective capacity; the factor is clamped. */
const OVERLOAD_SENSITIVITY = 1;
const MIN_CAPACITY_FACTOR = 0.1;
const MAX_CAPACITY_FACTOR = 1.5;
/** Added to each utilization, so that a few flows on idle back ends have little effect. */
const UTILIZATION_OFFSET = 0.02;

/** Total capacity and utilization of the candidates in one zone. */
export interface ZoneCapacity {
  readonly zone: string;
  /** Sum of the connection limits; reduced for back ends in slow start. */
  readonly capacity: number;
  /** Reported connections divided by their limits, 0 to 1. */
  readonly utilization: number;
}

/**
 * @param zones at least one, without duplicates
 * @param localTrafficShare share of all traffic that arrives at the balancers of the local zone, 0 to 1
 * @returns share of this balancer's new flows for each zone, in the same order; the sum is 1
 */
export function shareOverZones(
  zones: readonly ZoneCapacity[],
  localZone: string,
  localTrafficShare: number,
): number[] {
  const capacityShares = effectiveCapacityShares(zones);
  const localIndex = zones.findIndex(({ zone }) => zone === localZone);
  if (localIndex < 0) {
    return capacityShares;
  }
  const localCapacityShare = capacityShares[localIndex] ?? 0;
  const localShare = Math.min(1, localCapacityShare / localTrafficShare);
  const remoteTrafficShare = (1 - localTrafficShare) / Math.max(1, zones.length - 1);
  const spareShares = capacityShares.map((share, index) =>
    index === localIndex ? 0 : Math.max(0, share - remoteTrafficShare),
  );
  const totalSpareShare = sum(spareShares);
  if (totalSpareShare === 0) {
    return zones.map((_, index) => (index === localIndex ? 1 : 0));
  }
  return spareShares.map((share, index) =>
    index === localIndex ? localShare : ((1 - localShare) * share) / totalSpareShare,
  );
}

/** Share of the total capacity for each zone, reduced if its utilization is above the mean. */
function effectiveCapacityShares(zones: readonly ZoneCapacity[]): number[] {
  const total = sum(zones.map(({ capacity }) => capacity));
  const meanUtilization =
    sum(zones.map(({ capacity, utilization }) => capacity * utilization)) / total;
  const effective = zones.map(({ capacity, utilization }) => {
    const relativeUtilization =
      (utilization + UTILIZATION_OFFSET) / (meanUtilization + UTILIZATION_OFFSET);
    const factor = 1 - OVERLOAD_SENSITIVITY * (relativeUtilization - 1);
    return capacity * Math.min(MAX_CAPACITY_FACTOR, Math.max(MIN_CAPACITY_FACTOR, factor));
  });
  const effectiveTotal = sum(effective);
  return effective.map((capacity) => capacity / effectiveTotal);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
