/**
 * @file What the oracle knows of orders for zones: what was asked for and what was acknowledged. While an order is
 * under way either outcome is right.
 */

/** Sees orders and their acknowledgements. */
export interface ZoneWitness {
  /** An operator begins to ask for something. */
  recordOrder(zone: string): void;
  /** What was asked for is acknowledged, or given up. */
  recordOutcome(
    zone: string,
    acknowledged: 'evacuated' | 'readmitted' | undefined,
    nowMs: number,
  ): void;
  /** @returns since when a zone must be evacuated, in milliseconds; undefined where it need not be */
  evacuatedAtMs(zone: string): number | undefined;
  /** @returns whether a zone must be evacuated now; undefined where either is right */
  settledAs(zone: string): boolean | undefined;
}

interface WitnessedZone {
  underWay: number;
  /** Undefined while the last orders overlapped, or one of them was given up. */
  settled: 'evacuated' | 'readmitted' | undefined;
  settledAtMs: number;
  /** True where another order was under way at some time of the last one. */
  hasOverlap: boolean;
}

/** @returns a witness that has seen nothing: all zones are readmitted */
export function createZoneWitness(): ZoneWitness {
  const zones = new Map<string, WitnessedZone>();

  return { recordOrder: recordOrder, recordOutcome: recordOutcome, evacuatedAtMs, settledAs };

  function recordOrder(name: string): void {
    const zone = find(name);
    zone.hasOverlap = zone.underWay > 0;
    zone.underWay += 1;
    zone.settled = undefined;
  }

  function recordOutcome(
    name: string,
    acknowledged: 'evacuated' | 'readmitted' | undefined,
    nowMs: number,
  ): void {
    const zone = find(name);
    zone.underWay -= 1;
    if (zone.underWay === 0 && !zone.hasOverlap) {
      zone.settled = acknowledged;
      zone.settledAtMs = nowMs;
    }
  }

  function evacuatedAtMs(name: string): number | undefined {
    const zone = zones.get(name);
    return zone?.settled === 'evacuated' ? zone.settledAtMs : undefined;
  }

  function settledAs(name: string): boolean | undefined {
    const zone = find(name);
    return zone.settled === undefined ? undefined : zone.settled === 'evacuated';
  }

  function find(name: string): WitnessedZone {
    const known = zones.get(name);
    if (known !== undefined) {
      return known;
    }
    const zone: WitnessedZone = {
      underWay: 0,
      settled: 'readmitted',
      settledAtMs: Number.NEGATIVE_INFINITY,
      hasOverlap: false,
    };
    zones.set(name, zone);
    return zone;
  }
}
