/**
 * @file The starts of processes out of their logs: which phases each went through and when, what the group as a whole waited for, and
 * which wait was the longest. For the return after a restart or a loss of power of many processes. Pure; relies on `align-clocks`
 * for one time and on the names of decision lines of `src/registered/daemon`.
 */
import { alignClocks, type ClockSkew, type TimedLine } from './align-clocks.js';
import type { LogLine } from './log-line.js';

/** A step of the start of one process. */
export type PhaseName =
  /** The process was created; its code was not loaded yet. */
  | 'created'
  /** Settings and storage were read, and it listened. */
  | 'started'
  /** A control machine asked for votes first. */
  | 'campaigned'
  /** A control machine led, or followed a leader. */
  | 'had a leader'
  /** It knew which configuration holds. */
  | 'had the configuration'
  /** A balancer could take new flows. */
  | 'ready'
  /** A balancer placed its first open. */
  | 'placed an open';

/** One step with its time. */
export interface Phase {
  readonly name: PhaseName;
  /** In milliseconds since 1970, on the time of most processes. */
  readonly atMs: number;
}

/** One start of one process. */
export interface ProcessStart {
  readonly source: string;
  readonly part: string;
  /** In order of time; steps that the log does not show are left out. */
  readonly phases: readonly Phase[];
  /** How often it tried in vain to reach a control machine before it was ready. */
  readonly failedTries: number;
}

/** What several processes had to have done before the next of them could go on. */
export interface GroupPhase {
  readonly text: string;
  readonly atMs: number;
}

/** Starts that came close together. */
export interface Return {
  readonly starts: readonly ProcessStart[];
  /** In order of time. */
  readonly groupPhases: readonly GroupPhase[];
  /** The longest time between two steps of the group. */
  readonly longestWait: Wait | undefined;
}

/** A time between two steps. */
export interface Wait {
  readonly from: GroupPhase;
  readonly until: GroupPhase;
  readonly tookMs: number;
}

/** All returns in logs, in order of time, and clocks that were off. */
export interface Timeline {
  readonly returns: readonly Return[];
  readonly skews: readonly ClockSkew[];
}

/** Starts that are further apart than this belong to different returns. */
const SAME_RETURN_MS = 2_000;
/** Steps of a start are looked for until so long after it. */
const START_LASTS_MS = 10_000;
const CONTROL_PART = 'control';
const BALANCER_PART = 'balancer';

interface LinesOfStart {
  readonly source: string;
  readonly lines: readonly TimedLine[];
}

/** @returns the returns that the lines of some processes show */
export function timelineOf(logLines: readonly LogLine[]): Timeline {
  const { lines, skews } = alignClocks(logLines);
  const starts = startsOf(lines).map(describeStart);
  return { returns: returnsOf(starts).map(describeReturn), skews };
}

/** The lines from each `started` of a process to its next one. */
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
  const near = lines.filter(({ atMs }) => atMs - startedAtMs <= START_LASTS_MS);
  const firstOf = (name: PhaseName, isIt: (timed: TimedLine) => boolean): Phase[] => {
    const found = near.find(isIt);
    return found === undefined ? [] : [{ name, atMs: found.atMs }];
  };
  const upMs = first?.line.upMs;
  const created: Phase[] =
    upMs === undefined ? [] : [{ name: 'created', atMs: startedAtMs - upMs }];
  const phases = [
    ...created,
    ...firstOf('started', ({ line }) => line.name === 'started'),
    ...firstOf('campaigned', ({ line }) => line.fields.get('role') === 'pre-candidate'),
    ...firstOf('had a leader', ({ line }) => line.name === 'role' && line.fields.has('leader')),
    ...firstOf('had the configuration', ({ line }) => line.name === 'config in force'),
    ...firstOf('ready', ({ line }) => line.name === 'ready'),
    ...firstOf('placed an open', ({ line }) => line.name === 'placed'),
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

function startOf({ phases }: ProcessStart): number {
  return phases[0]?.atMs ?? 0;
}

function returnsOf(starts: readonly ProcessStart[]): ProcessStart[][] {
  const inOrder = [...starts].sort((one, other) => startOf(one) - startOf(other));
  const returns: ProcessStart[][] = [];
  let lastMs = Number.NEGATIVE_INFINITY;
  for (const start of inOrder) {
    if (startOf(start) - lastMs > SAME_RETURN_MS) {
      returns.push([]);
    }
    returns.at(-1)?.push(start);
    lastMs = startOf(start);
  }
  return returns;
}

function describeReturn(starts: readonly ProcessStart[]): Return {
  const groupPhases = groupPhasesOf(starts);
  return { starts, groupPhases, longestWait: longestWaitOf(groupPhases) };
}

function groupPhasesOf(starts: readonly ProcessStart[]): GroupPhase[] {
  const controls = starts.filter(({ part }) => part === CONTROL_PART);
  const balancers = starts.filter(({ part }) => part === BALANCER_PART);
  const majority = Math.floor(controls.length / 2) + 1;
  const phases = [
    nthOf('the first process was created', starts, 'created', 1),
    nthOf('the first control machine had started', controls, 'started', 1),
    nthOf(
      `control machine ${majority} of ${controls.length} had started`,
      controls,
      'started',
      majority,
    ),
    nthOf('the first control machine had a leader', controls, 'had a leader', 1),
    nthOf('the first balancer had started', balancers, 'started', 1),
    nthOf('the first balancer was ready', balancers, 'ready', 1),
    nthOf('the first open was placed', balancers, 'placed an open', 1),
    nthOf('the last balancer was ready', balancers, 'ready', balancers.length),
  ].flat();
  return phases.sort((one, other) => one.atMs - other.atMs);
}

/** When `count` processes had gone through a phase; nothing where fewer have. */
function nthOf(
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
