/**
 * @file Paces probes: visits each target once per interval, spread evenly over time. The interval grows with the number
 * of targets if the probe rate would exceed its limit.
 */
import type { Backend } from '../control/routing-config.js';
import { createMapCursor, nextEntry, type MapCursor } from './map-cursor.js';
import {
  PROBERS_PER_BACKEND,
  type GroupHashes,
  type ProberAssignment,
} from './prober-selection.js';

const MS_PER_SECOND = 1_000;

/** A back end to be probed by the balancers of the zone. */
export interface ProbeTarget {
  backend: Backend;
  readonly keyHash: number;
  /** When any balancer last probed the back end, or when its first visit was due. */
  observedAtMs: number | undefined;
  /** Start of this balancer's probe in progress. */
  startedAtMs: number | undefined;
  assignment: ProberAssignment | undefined;
}

/** Targets that are visited in rotation. */
export interface TargetRing {
  readonly maxProbesPerSecond: number;
  readonly targets: Map<number, ProbeTarget>;
  readonly cursor: MapCursor<number, ProbeTarget>;
  /** Number of visits due, including a fraction. */
  dueVisits: number;
}

/**
 * @param maxProbesPerSecond limit for the probes of this balancer
 * @returns a ring without targets
 */
export function createRing(maxProbesPerSecond: number): TargetRing {
  const targets = new Map<number, ProbeTarget>();
  return { maxProbesPerSecond, targets, cursor: createMapCursor(targets), dueVisits: 0 };
}

/**
 * @param intervalMs the configured interval
 * @returns the shortest interval, not below `intervalMs`, that keeps this balancer's share of probes within the limit
 */
export function ringIntervalMs(ring: TargetRing, intervalMs: number, group: GroupHashes): number {
  const members = Math.max(1, group.hashes.length);
  const share = (ring.targets.size * Math.min(PROBERS_PER_BACKEND, members)) / members;
  return Math.max(intervalMs, (share * MS_PER_SECOND) / ring.maxProbesPerSecond);
}

/**
 * @param elapsedMs time since the last call
 * @returns the targets whose visit is due
 */
export function* dueTargets(
  ring: TargetRing,
  elapsedMs: number,
  intervalMs: number,
): Generator<ProbeTarget> {
  const size = ring.targets.size;
  ring.dueVisits = Math.min(size, ring.dueVisits + (elapsedMs * size) / intervalMs);
  for (; ring.dueVisits >= 1; ring.dueVisits -= 1) {
    const target = nextEntry(ring.cursor, ring.targets)?.[1];
    if (target !== undefined) {
      yield target;
    }
  }
}
