/**
 * @file Tracks zone orders and their acknowledgements for the oracle. While an order is pending, either state of the zone
 * is valid.
 */

/** Derives the expected state of each zone from its orders. */
export interface ZoneOrderTracker {
  /** An operator has started to send an order. */
  recordOrder(zone: string): void;
  /** An order has been acknowledged, or abandoned if `acknowledged` is undefined. */
  recordOutcome(
    zone: string,
    acknowledged: 'evacuated' | 'readmitted' | undefined,
    nowMs: number,
  ): void;
  /** @returns when the evacuation of a zone was acknowledged, in milliseconds; undefined if the zone need not be evacuated */
  evacuatedAtMs(zone: string): number | undefined;
  /** @returns whether a zone must be evacuated; undefined if either state is valid */
  expectsEvacuated(zone: string): boolean | undefined;
}

interface TrackedZone {
  pendingOrders: number;
  /** Undefined while an order is pending, and if the last orders overlapped or the last one was abandoned. */
  settled: 'evacuated' | 'readmitted' | undefined;
  settledAtMs: number;
  /** True if another order was pending when the last one started. */
  hasOverlap: boolean;
}

/** @returns a tracker without orders: all zones are expected to be readmitted */
export function createZoneOrderTracker(): ZoneOrderTracker {
  const zones = new Map<string, TrackedZone>();

  return { recordOrder, recordOutcome, evacuatedAtMs, expectsEvacuated };

  function recordOrder(name: string): void {
    const zone = findOrCreate(name);
    zone.hasOverlap = zone.pendingOrders > 0;
    zone.pendingOrders += 1;
    zone.settled = undefined;
  }

  function recordOutcome(
    name: string,
    acknowledged: 'evacuated' | 'readmitted' | undefined,
    nowMs: number,
  ): void {
    const zone = findOrCreate(name);
    zone.pendingOrders -= 1;
    if (zone.pendingOrders === 0 && !zone.hasOverlap) {
      zone.settled = acknowledged;
      zone.settledAtMs = nowMs;
    }
  }

  function evacuatedAtMs(name: string): number | undefined {
    const zone = zones.get(name);
    return zone?.settled === 'evacuated' ? zone.settledAtMs : undefined;
  }

  function expectsEvacuated(name: string): boolean | undefined {
    const zone = findOrCreate(name);
    return zone.settled === undefined ? undefined : zone.settled === 'evacuated';
  }

  function findOrCreate(name: string): TrackedZone {
    const existing = zones.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const zone: TrackedZone = {
      pendingOrders: 0,
      settled: 'readmitted',
      settledAtMs: Number.NEGATIVE_INFINITY,
      hasOverlap: false,
    };
    zones.set(name, zone);
    return zone;
  }
}
