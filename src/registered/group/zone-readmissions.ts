/**
 * @file When this machine saw zones being readmitted. Balancers count the back ends of such a zone as cold until a
 * later heartbeat says otherwise (slow-start.ts). It is soft state, lost when the process restarts.
 */

/** When zones were readmitted. */
export interface ZoneReadmissions {
  recordReadmitted(zone: string, nowMs: number): void;
  recordEvacuated(zone: string): void;
  /** @returns milliseconds since a zone was readmitted; undefined where that was not seen */
  ageMs(zone: string, nowMs: number): number | undefined;
}

/** @returns readmissions of a machine that has seen none */
export function createZoneReadmissions(): ZoneReadmissions {
  const readmittedAtMs = new Map<string, number>();

  return {
    recordReadmitted: (zone, nowMs) => void readmittedAtMs.set(zone, nowMs),
    recordEvacuated: (zone) => void readmittedAtMs.delete(zone),
    ageMs,
  };

  function ageMs(zone: string, nowMs: number): number | undefined {
    const sinceMs = readmittedAtMs.get(zone);
    return sinceMs === undefined ? undefined : nowMs - sinceMs;
  }
}
