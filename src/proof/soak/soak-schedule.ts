/**
 * @file Draws the fault schedule of a soak from a seed, so that a run can be repeated. Faults are single or in series, and
 * series overlap. The number of control machines disturbed at the same time stays within the tolerated losses.
 */
import { seededRandom } from '../../shared/common/random.js';
import type { RandomSource } from '../../shared/common/step.js';

/** All kinds of faults, of processes and of the network. */
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

/** Kinds drawn separately, after the main series: adding them keeps the main series of a seed. */
const SEPARATE_KINDS: readonly SoakFaultKind[] = ['zone-evacuated', 'backend-restarted'];
/** Kinds of the main series. */
const MAIN_KINDS = soakFaultKinds.filter((kind) => !SEPARATE_KINDS.includes(kind));

/** One kind of fault. */
export type SoakFaultKind = (typeof soakFaultKinds)[number];

/** One scheduled fault. */
export interface SoakFault {
  /** Start, in milliseconds after fault injection begins. */
  readonly atMs: number;
  readonly kind: SoakFaultKind;
  /** Index of the process among those of its role; unused by faults that concern no single process. */
  readonly target: number;
  /** Duration in milliseconds; unused by instantaneous faults. */
  readonly forMs: number;
}

/** Options of a schedule. */
export interface ScheduleOptions {
  readonly seed: number;
  /** All faults begin within this time, in milliseconds. */
  readonly durationMs: number;
  readonly controlCount: number;
  readonly balancerCount: number;
  /** Number of control machines that may be disturbed at the same time. */
  readonly tolerableLosses: number;
  /** Time after a fault in which a control machine still counts as disturbed, in milliseconds. */
  readonly catchUpMs: number;
  /** Adds restarts of back ends under the same ID; the other faults of a seed stay the same. */
  readonly hasRestarts: boolean;
}

/** Short enough for overlapping faults, long enough for quiet periods of some seconds. */
const MEAN_FAULT_GAP_MS = 2_500;
const MIN_DURATION_MS = 800;
const DURATION_SPREAD_MS = 3_500;
/** Above the number of back ends of any soak; the target is taken modulo the running ones. */
const MAX_RESTART_TARGET = 1_000;
/** Leaves time for the first flows to open. */
const FIRST_FAULT_MS = 3_000;
/** Short enough for some evacuations to overlap. */
const MEAN_EVACUATION_GAP_MS = 8_000;
/** Makes evacuations last from less than their propagation time to twice the bound on it. */
const EVACUATION_SPREAD_MS = 8_000;
const MEAN_RESTART_GAP_MS = 5_000;
const MAX_RESTARTS_PER_SERIES = 4;
const MAX_SERIES_LENGTH = 6;
/** With the spread: gaps from shorter to longer than the start of a process. */
const MIN_SERIES_GAP_MS = 150;
const SERIES_GAP_SPREAD_MS = 1_250;

/** Kinds that disturb a single control machine. */
const SINGLE_CONTROL_KINDS: ReadonlySet<SoakFaultKind> = new Set<SoakFaultKind>([
  'control-killed',
  'control-stopped',
  'control-frozen',
  'control-wiped',
  'control-links-silent',
  'control-links-slow',
  'control-links-reset',
  'control-open-links-silent',
]);

interface DisturbedControl {
  readonly target: number;
  readonly untilMs: number;
}

/**
 * @returns the faults ordered by start time; the same options give the same faults
 */
export function drawSchedule(options: ScheduleOptions): SoakFault[] {
  const random = seededRandom(options.seed);
  const drawn: SoakFault[] = [];
  let atMs = FIRST_FAULT_MS;
  while (atMs < options.durationMs) {
    drawn.push(...drawSeries(options, random, Math.round(atMs)));
    atMs += random.nextFloat() * 2 * MEAN_FAULT_GAP_MS;
  }
  drawn.push(...drawEvacuations(options, random));
  drawn.push(...(options.hasRestarts ? drawRestarts(options, random) : []));
  return keepTolerable(drawn, options);
}

/** Draws overlapping series of restarts, each of one back end, with gaps from shorter to longer than its heartbeat interval. */
function drawRestarts({ durationMs }: ScheduleOptions, random: RandomSource): SoakFault[] {
  const drawn: SoakFault[] = [];
  let atMs = FIRST_FAULT_MS + random.nextFloat() * 2 * MEAN_RESTART_GAP_MS;
  while (atMs < durationMs) {
    const count = 1 + random.nextInt(MAX_RESTARTS_PER_SERIES);
    const gapMs = MIN_SERIES_GAP_MS + random.nextFloat() * 2 * SERIES_GAP_SPREAD_MS;
    const target = random.nextInt(MAX_RESTART_TARGET);
    const forMs = Math.round(MIN_DURATION_MS + random.nextFloat() * DURATION_SPREAD_MS);
    for (let index = 0; index < count; index += 1) {
      const startsAtMs = Math.round(atMs + index * gapMs);
      drawn.push({ atMs: startsAtMs, kind: 'backend-restarted', target, forMs });
    }
    atMs += random.nextFloat() * 2 * MEAN_RESTART_GAP_MS;
  }
  return drawn;
}

/** Draws evacuations that may overlap, of the same zone or of different ones. */
function drawEvacuations({ durationMs }: ScheduleOptions, random: RandomSource): SoakFault[] {
  const drawn: SoakFault[] = [];
  let atMs = FIRST_FAULT_MS + random.nextFloat() * 2 * MEAN_EVACUATION_GAP_MS;
  while (atMs < durationMs) {
    const forMs = Math.round(MIN_DURATION_MS + random.nextFloat() * EVACUATION_SPREAD_MS);
    drawn.push({ atMs: Math.round(atMs), kind: 'zone-evacuated', target: 0, forMs });
    atMs += random.nextFloat() * 2 * MEAN_EVACUATION_GAP_MS;
  }
  return drawn;
}

/** Leaves out each fault that would disturb more control machines at the same time than tolerated. */
function keepTolerable(drawn: readonly SoakFault[], options: ScheduleOptions): SoakFault[] {
  const faults: SoakFault[] = [];
  let disturbed: DisturbedControl[] = [];
  for (const fault of [...drawn].sort((one, other) => one.atMs - other.atMs)) {
    disturbed = disturbed.filter(({ untilMs }) => untilMs > fault.atMs);
    if (fault.atMs < options.durationMs && isTolerable(fault, disturbed, options)) {
      faults.push(fault);
      disturbed.push(...disturbedBy(fault, options));
    }
  }
  return faults;
}

/** @returns true if faults of this kind disturb a single control machine */
export function affectsOneControl(kind: SoakFaultKind): boolean {
  return SINGLE_CONTROL_KINDS.has(kind);
}

/** Draws a single fault or a series of one kind, on successive processes or on the same one. */
function drawSeries(options: ScheduleOptions, random: RandomSource, atMs: number): SoakFault[] {
  const first = drawFault(options, random, atMs);
  const count = random.nextInt(2) === 0 ? 1 : 1 + random.nextInt(MAX_SERIES_LENGTH);
  const gapMs = Math.round(MIN_SERIES_GAP_MS + random.nextFloat() * SERIES_GAP_SPREAD_MS);
  const step = random.nextInt(2);
  return Array.from({ length: count }, (_, index) => ({
    ...first,
    atMs: atMs + index * gapMs,
    target: (first.target + index * step) % targetCount(first.kind, options),
  }));
}

function drawFault(options: ScheduleOptions, random: RandomSource, atMs: number): SoakFault {
  const kind = MAIN_KINDS[random.nextInt(MAIN_KINDS.length)] ?? 'config-changed';
  const target = random.nextInt(targetCount(kind, options));
  const forMs = Math.round(MIN_DURATION_MS + random.nextFloat() * DURATION_SPREAD_MS);
  return { atMs, kind, target, forMs };
}

function targetCount(
  kind: SoakFaultKind,
  { controlCount, balancerCount }: ScheduleOptions,
): number {
  return kind.startsWith('balancer') ? balancerCount : controlCount;
}

function isTolerable(
  { kind, target }: SoakFault,
  disturbed: readonly DisturbedControl[],
  { tolerableLosses }: ScheduleOptions,
): boolean {
  if (kind === 'all-controls-killed') {
    return disturbed.length === 0;
  }
  const isUndisturbed = disturbed.every((other) => other.target !== target);
  return !affectsOneControl(kind) || (isUndisturbed && disturbed.length < tolerableLosses);
}

function disturbedBy(
  { kind, target, atMs, forMs }: SoakFault,
  { controlCount, catchUpMs }: ScheduleOptions,
): DisturbedControl[] {
  const untilMs = atMs + forMs + catchUpMs;
  if (kind === 'all-controls-killed') {
    return Array.from({ length: controlCount }, (_, index) => ({ target: index, untilMs }));
  }
  return affectsOneControl(kind) ? [{ target, untilMs }] : [];
}
