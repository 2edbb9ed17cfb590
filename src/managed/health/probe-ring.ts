/**
 * @file Which back ends are visited now? Each target of a ring is visited once in its interval, as evenly in time as the
 * calls allow, so that no balancer does the work for all at once. The interval grows with the targets where the rate of
 * probes would exceed its bound. Owns the position in the ring and the fraction of a visit that is due.
 */
import type { Backend } from '../control/routing-config.js';
import { createMapCursor, nextEntry, type MapCursor } from './map-cursor.js';
import { PROBERS, type GroupHashes, type ProberAssignment } from './prober-selection.js';

const MS_PER_SECOND = 1_000;

/** A back end that some balancer of the zone probes. Times in milliseconds. */
export interface ProbeTarget {
  backend: Backend;
  readonly keyHash: number;
  /** When the back end was last asked, by this balancer or another one, or was added. */
  observedAtMs: number | undefined;
  /** When the probe in progress began. */
  startedAtMs: number | undefined;
  assignment: ProberAssignment | undefined;
}

/** Targets that are visited in turn. */
export interface TargetRing {
  readonly maxProbesPerSecond: number;
  readonly targets: Map<number, ProbeTarget>;
  readonly cursor: MapCursor<number, ProbeTarget>;
  /** Visits that are due; a fraction is kept. */
  allowance: number;
}

/**
 * @param maxProbesPerSecond bound of the probes of one prober
 * @returns a ring without targets
 */
export function createRing(maxProbesPerSecond: number): TargetRing {
  const targets = new Map<number, ProbeTarget>();
  return { maxProbesPerSecond, targets, cursor: createMapCursor(targets), allowance: 0 };
}

/**
 * @param intervalMs the interval that is wanted
 * @returns the interval in which this balancer's share of the targets can be probed, in milliseconds
 */
export function ringIntervalMs(ring: TargetRing, intervalMs: number, group: GroupHashes): number {
  const members = Math.max(1, group.hashes.length);
  const share = (ring.targets.size * Math.min(PROBERS, members)) / members;
  return Math.max(intervalMs, (share * MS_PER_SECOND) / ring.maxProbesPerSecond);
}

/**
 * @returns the targets whose visit is due after `elapsedMs`
 */
export function* dueTargets(
  ring: TargetRing,
  elapsedMs: number,
  intervalMs: number,
): Generator<ProbeTarget> {
  const size = ring.targets.size;
  ring.allowance = Math.min(size, ring.allowance + (elapsedMs * size) / intervalMs);
  for (; ring.allowance >= 1; ring.allowance -= 1) {
    const target = nextEntry(ring.cursor, ring.targets)?.[1];
    if (target !== undefined) {
      yield target;
    }
  }
}
