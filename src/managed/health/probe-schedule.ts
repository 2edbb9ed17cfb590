/**
 * @file Which back ends this balancer probes, and when. The balancers of a zone share the probes: each
 * back end has a few probers, chosen by rendezvous among the zone's live balancers, and the others take
 * their results. A balancer probes by itself what it has had no result for. The rate of probes is
 * bounded, so that the interval grows with the back ends and no balancer does work for all at once.
 */
import type { Backend } from '../control/routing-config.js';
import { hashText, rendezvousScore } from '../../shared/common/rendezvous.js';

/** Balancers of a zone that probe one back end. */
const PROBERS = 3;
/** Probes a second that a balancer takes on for back ends of its own zone. */
const MAX_LOCAL_PROBES_PER_SECOND = 30;
/** The same for back ends of other zones. */
const MAX_REMOTE_PROBES_PER_SECOND = 20;
/** Probes a second in place of results that did not come, with a lease and without. */
const MAX_FALLBACK_PROBES_PER_SECOND = 5;
const MAX_URGENT_FALLBACK_PROBES_PER_SECOND = 20;
/** Probes of back ends not seen before that are begun at a time. */
const MAX_FIRST_PROBES = 50;
/** After this many intervals without a result a balancer that has no lease probes by itself. */
const STALE_INTERVALS = 3;
/** How much later one with a lease does so, in milliseconds. */
const STALE_EXTRA_MS = 5_000;
/** A probe that has brought no answer for this time is given up, in milliseconds. */
const PROBE_LIFETIME_MS = 5_000;

/** Probe this back end; answered by a `probe-result` event. */
export interface ProbeEffect {
  readonly type: 'probe';
  readonly backend: Backend;
  /**
   * True where the balancer may tell the back end which one it is and to drain. Without a lease it may
   * only ask: another back end may be at the address.
   */
  readonly isAuthoritative: boolean;
}

/** The live balancers of the own zone, this one included. */
export interface ProberGroup {
  /** Name of this balancer. */
  readonly selfId: string;
  readonly ids: readonly string[];
  /** Differs whenever the IDs do. */
  readonly version: number;
}

/** A back end that is probed by somebody. */
interface ProbeTarget {
  backend: Backend;
  readonly keyHash: number;
  /** When the last result was asked for, by whomever, or the back end was added. */
  observedAtMs: number | undefined;
  /** When the probe that is under way began. */
  startedAtMs: number | undefined;
  /** Whether this balancer is a prober, as of a version of the group. */
  assignment: { readonly version: number; readonly isOwn: boolean } | undefined;
}

/** Targets that are visited in turn. */
interface TargetRing {
  readonly maxProbesPerSecond: number;
  readonly targets: Map<number, ProbeTarget>;
  cursor: Iterator<ProbeTarget>;
  /** Visits that are due; a fraction is kept. */
  allowance: number;
}

/** The state of a probe schedule. */
export interface ProbeSchedule {
  readonly intervalMs: number;
  readonly zone: string;
  readonly local: TargetRing;
  readonly remote: TargetRing;
  /** Back ends not seen before. */
  readonly unseen: Set<number>;
  group: { readonly version: number; readonly hashes: readonly number[]; readonly ownHash: number };
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
    group: { version: Number.NEGATIVE_INFINITY, hashes: [], ownHash: 0 },
    fallbackAllowance: 0,
    hasLease: false,
    lastCallAtMs: undefined,
  };
}

/**
 * Takes a back end in, or its changed settings.
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
 * Forgets a back end.
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
  updateGroup(schedule, group);
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
 * Notes that a probe has ended.
 * @returns when it began; undefined where none was under way
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
 * Notes a result, of this balancer or another.
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

function createRing(maxProbesPerSecond: number): TargetRing {
  const targets = new Map<number, ProbeTarget>();
  return { maxProbesPerSecond, targets, cursor: targets.values(), allowance: 0 };
}

function ringOf(schedule: ProbeSchedule, backend: Backend): TargetRing {
  return backend.zone === schedule.zone ? schedule.local : schedule.remote;
}

function findTarget({ local, remote }: ProbeSchedule, backendId: number): ProbeTarget | undefined {
  return local.targets.get(backendId) ?? remote.targets.get(backendId);
}

function updateGroup(schedule: ProbeSchedule, { selfId, ids, version }: ProberGroup): void {
  if (version !== schedule.group.version) {
    schedule.group = { version, hashes: ids.map(hashText), ownHash: hashText(selfId) };
  }
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
  const size = ring.targets.size;
  const intervalMs = ringInterval(schedule, ring);
  ring.allowance = Math.min(size, ring.allowance + (elapsedMs * size) / intervalMs);
  const effects: ProbeEffect[] = [];
  for (; ring.allowance >= 1; ring.allowance -= 1) {
    const target = nextTarget(ring);
    if (target !== undefined) {
      effects.push(...visit(schedule, target, intervalMs, nowMs));
    }
  }
  return effects;
}

/** @returns the interval in which the own share of the targets can be probed */
function ringInterval({ intervalMs, group }: ProbeSchedule, ring: TargetRing): number {
  const members = Math.max(1, group.hashes.length);
  const share = (ring.targets.size * Math.min(PROBERS, members)) / members;
  return Math.max(intervalMs, (share * 1_000) / ring.maxProbesPerSecond);
}

function nextTarget(ring: TargetRing): ProbeTarget | undefined {
  const next = ring.cursor.next();
  if (next.done !== true) {
    return next.value;
  }
  ring.cursor = ring.targets.values();
  const first = ring.cursor.next();
  return first.done === true ? undefined : first.value;
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

/** @returns true where fewer than `PROBERS` balancers have a higher score than this one */
function isOwn({ group }: ProbeSchedule, target: ProbeTarget): boolean {
  if (target.assignment?.version === group.version) {
    return target.assignment.isOwn;
  }
  const ownScore = rendezvousScore(target.keyHash, group.ownHash);
  let higher = 0;
  for (const hash of group.hashes) {
    higher += rendezvousScore(target.keyHash, hash) > ownScore ? 1 : 0;
  }
  target.assignment = { version: group.version, isOwn: higher < PROBERS };
  return target.assignment.isOwn;
}
