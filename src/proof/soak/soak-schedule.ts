/**
 * @file What happens in a soak, and when: drawn from a seed alone, so that a run can be repeated. Faults come one
 * by one and in series, as a roll of restarts or a storm of changes, and series overlap. Control machines that
 * are disturbed at the same time stay within what the deployment must survive.
 */
import { seededRandom } from '../../shared/common/random.js';
import type { RandomSource } from '../../shared/common/step.js';

/** What can happen to the processes and to what lies between them. */
export const soakFaultKinds = [
  'control-killed',
  'control-stopped',
  'control-frozen',
  'control-wiped',
  'control-links-silent',
  'control-links-slow',
  'control-links-reset',
  'control-open-links-silent',
  'all-controls-killed',
  'balancer-killed',
  'balancer-stopped',
  'balancer-frozen',
  'backend-crashed',
  'backend-leaves',
  'backend-leaves-at-once',
  'backend-reborn',
  'config-changed',
  'datagrams-lost',
  'acknowledgements-lost',
  'zone-evacuated',
  'backend-restarted',
] as const;

/** Kinds that are drawn after all others, as series of their own. */
const LATER_KINDS: readonly SoakFaultKind[] = ['zone-evacuated', 'backend-restarted'];
/** Kinds of the series that are drawn first. */
const FIRST_KINDS = soakFaultKinds.filter((kind) => !LATER_KINDS.includes(kind));

/** One kind of fault. */
export type SoakFaultKind = (typeof soakFaultKinds)[number];

/** One fault. */
export interface SoakFault {
  /** Since the start of the clients, in milliseconds. */
  readonly atMs: number;
  readonly kind: SoakFaultKind;
  /** Which process of its kind, from 0; of no meaning for faults of no single process. */
  readonly target: number;
  /** How long it lasts, in milliseconds; of no meaning for faults of a moment. */
  readonly forMs: number;
}

/** What a schedule is drawn for. */
export interface ScheduleOptions {
  readonly seed: number;
  /** Faults begin within this time, in milliseconds. */
  readonly durationMs: number;
  readonly controlCount: number;
  readonly balancerCount: number;
  /** Control machines that may be disturbed at once. */
  readonly tolerableLosses: number;
  /** A control machine counts as disturbed for so long after its fault, in milliseconds. */
  readonly catchUpMs: number;
  /** Whether back ends start again under their IDs; without them a seed gives what it gave before there were any. */
  readonly hasRestarts: boolean;
}

/** Mean time between two faults: several overlap at times, and quiet times of some seconds come about. */
const MEAN_GAP_MS = 2_500;
const SHORTEST_MS = 800;
const SPREAD_MS = 3_500;
/** More than any deployment of the soak has back ends; the target is taken modulo those that are there. */
const MAX_RESTART_TARGET = 1_000;
/** Nothing strikes before: the first flows are open then. */
const FIRST_FAULT_MS = 3_000;
/** Mean time between two evacuations: some overlap. */
const MEAN_EVACUATION_GAP_MS = 8_000;
/** They last up to so long: from less than the time until they are in force everywhere to twice the bound of that. */
const EVACUATION_SPREAD_MS = 8_000;
/** Mean time between two series of restarts of back ends, and how many restarts one has at most. */
const MEAN_RESTART_GAP_MS = 5_000;
const LONGEST_RESTARTS = 4;
/** Every second fault begins a series of up to so many of its kind ... */
const LONGEST_SERIES = 6;
/** ... so far apart: from faster than a process starts to slower. */
const SHORTEST_GAP_MS = 150;
const GAP_SPREAD_MS = 1_250;

/** Faults of one control machine. */
const OF_ONE_CONTROL: ReadonlySet<SoakFaultKind> = new Set<SoakFaultKind>([
  'control-killed',
  'control-stopped',
  'control-frozen',
  'control-wiped',
  'control-links-silent',
  'control-links-slow',
  'control-links-reset',
  'control-open-links-silent',
]);

interface Disturbed {
  readonly target: number;
  readonly untilMs: number;
}

/**
 * @returns the faults in the order in which they begin; the same for the same options
 */
export function drawSchedule(options: ScheduleOptions): SoakFault[] {
  const random = seededRandom(options.seed);
  const drawn: SoakFault[] = [];
  let atMs = FIRST_FAULT_MS;
  while (atMs < options.durationMs) {
    drawn.push(...drawSeries(options, random, Math.round(atMs)));
    atMs += random.nextFloat() * 2 * MEAN_GAP_MS;
  }
  drawn.push(...drawEvacuations(options, random));
  drawn.push(...(options.hasRestarts ? drawRestarts(options, random) : []));
  return borne(drawn, options);
}

/** Series of restarts of one back end, from faster than its heartbeats to slower; they overlap. */
function drawRestarts({ durationMs }: ScheduleOptions, random: RandomSource): SoakFault[] {
  const drawn: SoakFault[] = [];
  let atMs = FIRST_FAULT_MS + random.nextFloat() * 2 * MEAN_RESTART_GAP_MS;
  while (atMs < durationMs) {
    const count = 1 + random.nextInt(LONGEST_RESTARTS);
    const gapMs = SHORTEST_GAP_MS + random.nextFloat() * 2 * GAP_SPREAD_MS;
    const target = random.nextInt(MAX_RESTART_TARGET);
    const forMs = Math.round(SHORTEST_MS + random.nextFloat() * SPREAD_MS);
    for (let index = 0; index < count; index += 1) {
      const startsAtMs = Math.round(atMs + index * gapMs);
      drawn.push({ atMs: startsAtMs, kind: 'backend-restarted', target, forMs });
    }
    atMs += random.nextFloat() * 2 * MEAN_RESTART_GAP_MS;
  }
  return drawn;
}

/** Evacuations beside all else; they overlap, of one zone and of several. */
function drawEvacuations({ durationMs }: ScheduleOptions, random: RandomSource): SoakFault[] {
  const drawn: SoakFault[] = [];
  let atMs = FIRST_FAULT_MS + random.nextFloat() * 2 * MEAN_EVACUATION_GAP_MS;
  while (atMs < durationMs) {
    const forMs = Math.round(SHORTEST_MS + random.nextFloat() * EVACUATION_SPREAD_MS);
    drawn.push({ atMs: Math.round(atMs), kind: 'zone-evacuated', target: 0, forMs });
    atMs += random.nextFloat() * 2 * MEAN_EVACUATION_GAP_MS;
  }
  return drawn;
}

/** The faults that leave no more control machines disturbed at once than may be lost. */
function borne(drawn: readonly SoakFault[], options: ScheduleOptions): SoakFault[] {
  const faults: SoakFault[] = [];
  let disturbed: Disturbed[] = [];
  for (const fault of [...drawn].sort((one, other) => one.atMs - other.atMs)) {
    disturbed = disturbed.filter(({ untilMs }) => untilMs > fault.atMs);
    if (fault.atMs < options.durationMs && fits(fault, disturbed, options)) {
      faults.push(fault);
      disturbed.push(...disturbedBy(fault, options));
    }
  }
  return faults;
}

/** @returns true where a fault is of one control machine */
export function isOfOneControl(kind: SoakFaultKind): boolean {
  return OF_ONE_CONTROL.has(kind);
}

/** One fault, or one of its kind after the other: on a process each, or again and again on the same. */
function drawSeries(options: ScheduleOptions, random: RandomSource, atMs: number): SoakFault[] {
  const first = drawFault(options, random, atMs);
  const count = random.nextInt(2) === 0 ? 1 : 1 + random.nextInt(LONGEST_SERIES);
  const gapMs = Math.round(SHORTEST_GAP_MS + random.nextFloat() * GAP_SPREAD_MS);
  const step = random.nextInt(2);
  return Array.from({ length: count }, (_, index) => ({
    ...first,
    atMs: atMs + index * gapMs,
    target: (first.target + index * step) % targetCount(first.kind, options),
  }));
}

function drawFault(options: ScheduleOptions, random: RandomSource, atMs: number): SoakFault {
  const kind = FIRST_KINDS[random.nextInt(FIRST_KINDS.length)] ?? 'config-changed';
  const target = random.nextInt(targetCount(kind, options));
  const forMs = Math.round(SHORTEST_MS + random.nextFloat() * SPREAD_MS);
  return { atMs, kind, target, forMs };
}

function targetCount(
  kind: SoakFaultKind,
  { controlCount, balancerCount }: ScheduleOptions,
): number {
  return kind.startsWith('balancer') ? balancerCount : controlCount;
}

/** A fault that would disturb more than may be lost is left out. */
function fits(
  { kind, target }: SoakFault,
  disturbed: readonly Disturbed[],
  { tolerableLosses }: ScheduleOptions,
): boolean {
  if (kind === 'all-controls-killed') {
    return disturbed.length === 0;
  }
  const isFree = disturbed.every((other) => other.target !== target);
  return !isOfOneControl(kind) || (isFree && disturbed.length < tolerableLosses);
}

function disturbedBy(
  { kind, target, atMs, forMs }: SoakFault,
  { controlCount, catchUpMs }: ScheduleOptions,
): Disturbed[] {
  const untilMs = atMs + forMs + catchUpMs;
  if (kind === 'all-controls-killed') {
    return Array.from({ length: controlCount }, (_, index) => ({ target: index, untilMs }));
  }
  return isOfOneControl(kind) ? [{ target, untilMs }] : [];
}
