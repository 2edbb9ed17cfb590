/**
 * @file Which back ends does this balancer probe now? The balancers of a zone share the probes: each back end has a few
 * probers (`prober-selection.ts`), visited in turn within a bounded rate (`probe-ring.ts`), and the others use their results.
 * A balancer probes by itself what it has had no result for, and a back end that it has not seen before at once.
 *
 * Inputs: the back ends in force, the live balancers of the zone, when each back end was last asked, the lease, the time in
 * milliseconds. Returns the probes to begin. Owns `ProbeSchedule`.
 */
import type { Backend } from '../control/routing-config.js';
import { hashText } from '../../shared/common/rendezvous.js';
import {
  createRing,
  dueTargets,
  ringIntervalMs,
  type ProbeTarget,
  type TargetRing,
} from './probe-ring.js';
import {
  emptyGroupHashes,
  groupHashes,
  isProber,
  type GroupHashes,
  type ProberGroup,
} from './prober-selection.js';

/**
 * Bounds of the probes a second of one balancer, for back ends of its own zone and of others. A probe took 0.239 ms of
 * processor time, so 50 a second are 1.2 % of a core (docs/CAPACITY.md).
 */
const MAX_LOCAL_PROBES_PER_SECOND = 30;
const MAX_REMOTE_PROBES_PER_SECOND = 20;
/**
 * Bounds of the probes a second in place of results that did not come, with a lease and without. Without a lease each back
 * end must confirm its identity every 3 s. Not measured; too low if `lease-expired` is counted while back ends answer.
 */
const MAX_FALLBACK_PROBES_PER_SECOND = 5;
const MAX_URGENT_FALLBACK_PROBES_PER_SECOND = 20;
/**
 * Probes of back ends not seen before that are begun in one call. Not measured; thousands at once used up the
 * balancer's ports.
 */
const MAX_FIRST_PROBES = 50;
/** After this many intervals without a result a balancer without a lease probes by itself. Not measured. */
const STALE_INTERVALS = 3;
/** How much later a balancer with a lease does so, in milliseconds. Not measured. */
const STALE_EXTRA_MS = 5_000;
/** A probe without an end for this time is given up, in milliseconds; above the timeout of the request, 1 s. */
const PROBE_LIFETIME_MS = 5_000;

/** Probes this back end; a `probe-result` event follows. */
export interface ProbeEffect {
  readonly type: 'probe';
  readonly backend: Backend;
  /**
   * True where the probe also sends the back end its identity and the order to drain. Without a lease it only asks:
   * another back end may be at the address.
   */
  readonly isAuthoritative: boolean;
}

/** The state of a probe schedule. */
export interface ProbeSchedule {
  readonly intervalMs: number;
  readonly zone: string;
  readonly local: TargetRing;
  readonly remote: TargetRing;
  /** Back ends not seen before. */
  readonly unseen: Set<number>;
  group: GroupHashes;
  fallbackAllowance: number;
  /** False while the balancer depends on what back ends said a moment ago. */
  hasLease: boolean;
  lastCallAtMs: number | undefined;
}

/**
 * @param intervalMs between two probes of a back end by one prober, where the rate allows it
 * @returns an empty schedule
 */
export function createProbeSchedule(intervalMs: number, zone: string): ProbeSchedule {
  return {
    intervalMs,
    zone,
    local: createRing(MAX_LOCAL_PROBES_PER_SECOND),
    remote: createRing(MAX_REMOTE_PROBES_PER_SECOND),
    unseen: new Set(),
    group: emptyGroupHashes(),
    fallbackAllowance: 0,
    hasLease: false,
    lastCallAtMs: undefined,
  };
}

/**
 * Adds a back end, or updates the one of that ID.
 */
export function setProbeTarget(schedule: ProbeSchedule, backend: Backend): void {
  const known = findTarget(schedule, backend.id);
  if (known?.backend.zone === backend.zone) {
    known.backend = backend;
    return;
  }
  removeProbeTarget(schedule, backend.id);
  ringOf(schedule, backend).targets.set(backend.id, {
    backend,
    keyHash: hashText(`probe/${backend.id}`),
    observedAtMs: undefined,
    startedAtMs: undefined,
    assignment: undefined,
  });
  schedule.unseen.add(backend.id);
}

/**
 * Removes a back end.
 */
export function removeProbeTarget(schedule: ProbeSchedule, backendId: number): void {
  schedule.local.targets.delete(backendId);
  schedule.remote.targets.delete(backendId);
  schedule.unseen.delete(backendId);
}

/**
 * @returns the probes that are due; a back end not seen before is due at once
 */
export function dueProbes(
  schedule: ProbeSchedule,
  group: ProberGroup,
  nowMs: number,
): ProbeEffect[] {
  schedule.group = groupHashes(schedule.group, group);
  const elapsedMs = nowMs - (schedule.lastCallAtMs ?? nowMs);
  schedule.lastCallAtMs = nowMs;
  const maxFallback = schedule.hasLease
    ? MAX_FALLBACK_PROBES_PER_SECOND
    : MAX_URGENT_FALLBACK_PROBES_PER_SECOND;
  const fallback = schedule.fallbackAllowance + (elapsedMs * maxFallback) / 1_000;
  schedule.fallbackAllowance = Math.min(fallback, maxFallback);
  return [
    ...firstProbes(schedule, nowMs),
    ...visitRing(schedule, schedule.local, elapsedMs, nowMs),
    ...visitRing(schedule, schedule.remote, elapsedMs, nowMs),
  ];
}

/**
 * Ends a probe.
 * @returns when it began, in milliseconds; undefined where none was in progress
 */
export function endProbe(schedule: ProbeSchedule, backendId: number): number | undefined {
  const target = findTarget(schedule, backendId);
  const startedAtMs = target?.startedAtMs;
  if (target !== undefined && startedAtMs !== undefined) {
    target.startedAtMs = undefined;
    recordObservation(schedule, backendId, startedAtMs);
  }
  return startedAtMs;
}

/**
 * Records when a back end was asked, by this balancer or another one.
 * @param observedAtMs when the back end was asked
 * @returns false where a later one is known
 */
export function recordObservation(
  schedule: ProbeSchedule,
  backendId: number,
  observedAtMs: number,
): boolean {
  const target = findTarget(schedule, backendId);
  if (target === undefined || observedAtMs <= (target.observedAtMs ?? -Infinity)) {
    return false;
  }
  target.observedAtMs = observedAtMs;
  return true;
}

function ringOf(schedule: ProbeSchedule, backend: Backend): TargetRing {
  return backend.zone === schedule.zone ? schedule.local : schedule.remote;
}

function findTarget({ local, remote }: ProbeSchedule, backendId: number): ProbeTarget | undefined {
  return local.targets.get(backendId) ?? remote.targets.get(backendId);
}

function firstProbes(schedule: ProbeSchedule, nowMs: number): ProbeEffect[] {
  const effects: ProbeEffect[] = [];
  for (const backendId of schedule.unseen) {
    if (effects.length >= MAX_FIRST_PROBES) {
      break;
    }
    schedule.unseen.delete(backendId);
    const target = findTarget(schedule, backendId);
    if (target !== undefined) {
      target.observedAtMs ??= nowMs;
      effects.push(
        ...(isOwn(schedule, target) ? beginProbe(target, schedule.hasLease, nowMs) : []),
      );
    }
  }
  return effects;
}

/** Visits each target of a ring about once in its interval. */
function visitRing(
  schedule: ProbeSchedule,
  ring: TargetRing,
  elapsedMs: number,
  nowMs: number,
): ProbeEffect[] {
  const intervalMs = ringIntervalMs(ring, schedule.intervalMs, schedule.group);
  const effects: ProbeEffect[] = [];
  for (const target of dueTargets(ring, elapsedMs, intervalMs)) {
    effects.push(...visit(schedule, target, intervalMs, nowMs));
  }
  return effects;
}

function visit(
  schedule: ProbeSchedule,
  target: ProbeTarget,
  intervalMs: number,
  nowMs: number,
): ProbeEffect[] {
  if (target.startedAtMs !== undefined && nowMs - target.startedAtMs < PROBE_LIFETIME_MS) {
    return [];
  }
  if (isOwn(schedule, target)) {
    return beginProbe(target, schedule.hasLease, nowMs);
  }
  const ageMs = nowMs - (target.observedAtMs ?? nowMs);
  const extraMs = schedule.hasLease ? STALE_EXTRA_MS : 0;
  const isStale = ageMs > STALE_INTERVALS * intervalMs + extraMs;
  if (!isStale || schedule.fallbackAllowance < 1) {
    return [];
  }
  schedule.fallbackAllowance -= 1;
  return beginProbe(target, schedule.hasLease, nowMs);
}

function beginProbe(target: ProbeTarget, isAuthoritative: boolean, nowMs: number): ProbeEffect[] {
  target.startedAtMs = nowMs;
  return [{ type: 'probe', backend: target.backend, isAuthoritative }];
}

/** Kept with the target until the group changes. */
function isOwn({ group }: ProbeSchedule, target: ProbeTarget): boolean {
  if (target.assignment?.version !== group.version) {
    target.assignment = { version: group.version, isOwn: isProber(target.keyHash, group) };
  }
  return target.assignment.isOwn;
}
