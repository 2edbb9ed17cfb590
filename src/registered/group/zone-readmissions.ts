/**
 * @file Times at which this machine observed zones being readmitted. Balancers treat back ends of a readmitted zone as
 * cold until a later heartbeat (slow-start.ts). Soft state, lost on restart.
 */

/** Readmission times of zones. */
export interface ZoneReadmissions {
  recordReadmitted(zone: string, nowMs: number): void;
  recordEvacuated(zone: string): void;
  /** @returns milliseconds since a zone was readmitted; undefined if this machine did not observe it */
  ageMs(zone: string, nowMs: number): number | undefined;
}

/** @returns an empty table of readmission times */
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
