/**
 * @file Schedules health probes. The balancers of a zone share the work: each back end is probed by a few of them
 * (`prober-selection.ts`), who send the results to the others. A balancer falls back to its own probes for back ends
 * whose results are stale.
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

/** Probe rates for back ends in this balancer's zone and in other zones. */
const MAX_LOCAL_PROBES_PER_SECOND = 30;
const MAX_REMOTE_PROBES_PER_SECOND = 20;
/**
 * Rates of fallback probes for stale results. The urgent rate applies without a lease, when back ends must confirm
 * their identity often.
 */
const MAX_FALLBACK_PROBES_PER_SECOND = 5;
const MAX_URGENT_FALLBACK_PROBES_PER_SECOND = 20;
/** Keeps a large initial configuration from exhausting the balancer's ports. */
const MAX_INITIAL_PROBES_PER_CALL = 50;
/** Number of probe intervals after which a result is stale. */
const STALE_AFTER_INTERVALS = 3;
/** With a lease, results may be older by this before they are stale. */
const STALE_EXTRA_WITH_LEASE_MS = 5_000;
/** A probe without a result is given up after this time; longer than the timeout of its request. */
const PROBE_EXPIRY_MS = 5_000;

/** Requests a probe of this back end; a `probe-result` event follows. */
export interface ProbeEffect {
  readonly type: 'probe';
  readonly backend: Backend;
  /**
   * True if the probe also sends the back end its identity and a drain request. False without a lease, since another
   * back end may now have this address.
   */
  readonly isAuthoritative: boolean;
}

/** State of the probe schedule of one balancer. */
export interface ProbeSchedule {
  readonly intervalMs: number;
  readonly zone: string;
  readonly local: TargetRing;
  readonly remote: TargetRing;
  /** IDs of new back ends whose first visit is still due. */
  readonly unseen: Set<number>;
  group: GroupHashes;
  /** Fallback probes that the rate currently allows, including a fraction. */
  fallbackAllowance: number;
  /** Without a lease, results become stale sooner and probes are not authoritative. */
  hasLease: boolean;
  lastCallAtMs: number | undefined;
}

/**
 * @param intervalMs time between two probes of a back end by one balancer, if the rate limit permits
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
 * Adds a back end, or replaces the one with the same ID.
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
 * Removes a back end from the schedule; does nothing for an unknown ID.
 */
export function removeProbeTarget(schedule: ProbeSchedule, backendId: number): void {
  schedule.local.targets.delete(backendId);
  schedule.remote.targets.delete(backendId);
  schedule.unseen.delete(backendId);
}

/**
 * @returns the probes to start now; new back ends assigned to this balancer are due at once
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
    ...initialProbes(schedule, nowMs),
    ...visitRing(schedule, schedule.local, elapsedMs, nowMs),
    ...visitRing(schedule, schedule.remote, elapsedMs, nowMs),
  ];
}

/**
 * Records that a probe has ended.
 * @returns when it started; undefined if none was in progress
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
 * Records a result from this balancer or another.
 * @param observedAtMs when the back end was probed
 * @returns false if the back end is unknown or a result at least as recent is known
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

function initialProbes(schedule: ProbeSchedule, nowMs: number): ProbeEffect[] {
  const effects: ProbeEffect[] = [];
  for (const backendId of schedule.unseen) {
    if (effects.length >= MAX_INITIAL_PROBES_PER_CALL) {
      break;
    }
    schedule.unseen.delete(backendId);
    const target = findTarget(schedule, backendId);
    if (target !== undefined) {
      target.observedAtMs ??= nowMs;
      effects.push(
        ...(isAssigned(schedule, target) ? beginProbe(target, schedule.hasLease, nowMs) : []),
      );
    }
  }
  return effects;
}

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
  if (target.startedAtMs !== undefined && nowMs - target.startedAtMs < PROBE_EXPIRY_MS) {
    return [];
  }
  if (isAssigned(schedule, target)) {
    return beginProbe(target, schedule.hasLease, nowMs);
  }
  const ageMs = nowMs - (target.observedAtMs ?? nowMs);
  const extraMs = schedule.hasLease ? STALE_EXTRA_WITH_LEASE_MS : 0;
  const isStale = ageMs > STALE_AFTER_INTERVALS * intervalMs + extraMs;
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

/** Whether this balancer probes the target; cached until the group changes. */
function isAssigned({ group }: ProbeSchedule, target: ProbeTarget): boolean {
  if (target.assignment?.version !== group.version) {
    target.assignment = { version: group.version, isProber: isProber(target.keyHash, group) };
  }
  return target.assignment.isProber;
}
