/**
 * @file Reconstructs from logs how processes started again after a restart or a power loss: the phases of each process,
 * the phases of the group, and the longest wait between them.
 */
import { alignClocks, type ClockSkew, type TimedLine } from './align-clocks.js';
import type { LogLine } from './log-line.js';

/** A phase in the start of one process. */
export type PhaseName =
  /** The operating system created the process. */
  | 'created'
  /** It had read its settings and storage and was listening. */
  | 'started'
  /** A control machine became a pre-candidate. */
  | 'campaigned'
  /** A control machine was the leader or followed one. */
  | 'had a leader'
  /** The current configuration was in force. */
  | 'had the configuration'
  /** A balancer could accept new flows. */
  | 'ready'
  /** A balancer placed its first open. */
  | 'placed an open';

/** A phase with the time at which it was reached. */
export interface Phase {
  readonly name: PhaseName;
  /** In milliseconds since the Unix epoch, on the common clock. */
  readonly atMs: number;
}

/** One start of one process. */
export interface ProcessStart {
  readonly source: string;
  readonly part: string;
  /** In order of time; phases that the log does not show are omitted. */
  readonly phases: readonly Phase[];
  /** Failed attempts to reach a control machine before the process was ready. */
  readonly failedTries: number;
}

/** A phase of the group, such as a majority of control machines having started. */
export interface GroupPhase {
  readonly text: string;
  readonly atMs: number;
}

/** Starts of several processes within a short time. */
export interface Recovery {
  readonly starts: readonly ProcessStart[];
  /** In order of time. */
  readonly groupPhases: readonly GroupPhase[];
  /** The longest time between two consecutive group phases. */
  readonly longestWait: Wait | undefined;
}

/** Time between two consecutive group phases. */
export interface Wait {
  readonly from: GroupPhase;
  readonly until: GroupPhase;
  readonly tookMs: number;
}

/** All recoveries in order of time, and the clocks with a skew. */
export interface Timeline {
  readonly returns: readonly Recovery[];
  readonly skews: readonly ClockSkew[];
}

/** Starts further apart than this belong to different recoveries. */
const MAX_START_GAP_MS = 2_000;
/** Phases are searched for up to this time after a start. */
const START_WINDOW_MS = 10_000;
const CONTROL_PART = 'control';
const BALANCER_PART = 'balancer';

interface LinesOfStart {
  readonly source: string;
  readonly lines: readonly TimedLine[];
}

/** @returns the recoveries found in the lines of several processes */
export function timelineOf(logLines: readonly LogLine[]): Timeline {
  const { lines, skews } = alignClocks(logLines);
  const starts = startsOf(lines).map(describeStart);
  return { returns: groupRecoveries(starts).map(describeRecovery), skews };
}

/** Groups the lines of each process from one `started` line to the next. */
function startsOf(lines: readonly TimedLine[]): LinesOfStart[] {
  const starts: { source: string; lines: TimedLine[] }[] = [];
  const current = new Map<string, TimedLine[]>();
  for (const timed of lines) {
    const { source, name } = timed.line;
    if (name === 'started') {
      const linesOfStart: TimedLine[] = [];
      current.set(source, linesOfStart);
      starts.push({ source, lines: linesOfStart });
    }
    current.get(source)?.push(timed);
  }
  return starts;
}

function describeStart({ source, lines }: LinesOfStart): ProcessStart {
  const [first] = lines;
  const startedAtMs = first?.atMs ?? 0;
  const near = lines.filter(({ atMs }) => atMs - startedAtMs <= START_WINDOW_MS);
  const firstPhase = (name: PhaseName, matches: (timed: TimedLine) => boolean): Phase[] => {
    const found = near.find(matches);
    return found === undefined ? [] : [{ name, atMs: found.atMs }];
  };
  const upMs = first?.line.upMs;
  const created: Phase[] =
    upMs === undefined ? [] : [{ name: 'created', atMs: startedAtMs - upMs }];
  const phases = [
    ...created,
    ...firstPhase('started', ({ line }) => line.name === 'started'),
    ...firstPhase('campaigned', ({ line }) => line.fields.get('role') === 'pre-candidate'),
    ...firstPhase('had a leader', ({ line }) => line.name === 'role' && line.fields.has('leader')),
    ...firstPhase('had the configuration', ({ line }) => line.name === 'config in force'),
    ...firstPhase('ready', ({ line }) => line.name === 'ready'),
    ...firstPhase('placed an open', ({ line }) => line.name === 'placed'),
  ];
  const readyAtMs = phaseOf(phases, 'ready')?.atMs ?? Number.POSITIVE_INFINITY;
  return {
    source,
    part: first?.line.part ?? '',
    phases: phases.sort((one, other) => one.atMs - other.atMs),
    failedTries: near.filter(({ line, atMs }) => {
      return line.name === 'feed not reached' && atMs <= readyAtMs;
    }).length,
  };
}

function phaseOf(phases: readonly Phase[], name: PhaseName): Phase | undefined {
  return phases.find((phase) => phase.name === name);
}

function firstPhaseMs({ phases }: ProcessStart): number {
  return phases[0]?.atMs ?? 0;
}

function groupRecoveries(starts: readonly ProcessStart[]): ProcessStart[][] {
  const inOrder = [...starts].sort((one, other) => firstPhaseMs(one) - firstPhaseMs(other));
  const recoveries: ProcessStart[][] = [];
  let lastMs = Number.NEGATIVE_INFINITY;
  for (const start of inOrder) {
    if (firstPhaseMs(start) - lastMs > MAX_START_GAP_MS) {
      recoveries.push([]);
    }
    recoveries.at(-1)?.push(start);
    lastMs = firstPhaseMs(start);
  }
  return recoveries;
}

function describeRecovery(starts: readonly ProcessStart[]): Recovery {
  const groupPhases = groupPhasesOf(starts);
  return { starts, groupPhases, longestWait: longestWaitOf(groupPhases) };
}

function groupPhasesOf(starts: readonly ProcessStart[]): GroupPhase[] {
  const controls = starts.filter(({ part }) => part === CONTROL_PART);
  const balancers = starts.filter(({ part }) => part === BALANCER_PART);
  const majority = Math.floor(controls.length / 2) + 1;
  const phases = [
    whenNthReached('the first process was created', starts, 'created', 1),
    whenNthReached('the first control machine had started', controls, 'started', 1),
    whenNthReached(
      `control machine ${majority} of ${controls.length} had started`,
      controls,
      'started',
      majority,
    ),
    whenNthReached('the first control machine had a leader', controls, 'had a leader', 1),
    whenNthReached('the first balancer had started', balancers, 'started', 1),
    whenNthReached('the first balancer was ready', balancers, 'ready', 1),
    whenNthReached('the first open was placed', balancers, 'placed an open', 1),
    whenNthReached('the last balancer was ready', balancers, 'ready', balancers.length),
  ].flat();
  return phases.sort((one, other) => one.atMs - other.atMs);
}

/** @returns when the `count`-th process reached a phase; empty if fewer did */
function whenNthReached(
  text: string,
  starts: readonly ProcessStart[],
  name: PhaseName,
  count: number,
): GroupPhase[] {
  const times = starts
    .flatMap(({ phases }) => phaseOf(phases, name)?.atMs ?? [])
    .sort((one, other) => one - other);
  const atMs = times[count - 1];
  return atMs === undefined ? [] : [{ text, atMs }];
}

function longestWaitOf(phases: readonly GroupPhase[]): Wait | undefined {
  const waits = phases.slice(1).flatMap((until, index): Wait[] => {
    const from = phases[index];
    return from === undefined ? [] : [{ from, until, tookMs: until.atMs - from.atMs }];
  });
  const byLength = [...waits].sort((one, other) => other.tookMs - one.tookMs);
  return byLength[0];
}
