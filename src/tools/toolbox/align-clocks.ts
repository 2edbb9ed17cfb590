/**
 * @file Aligns the log lines of several processes whose wall clocks differ or jump. The monotonic clock orders the lines
 * of one process; configurations that come into force at about the same time show the skew between processes.
 */
import type { LogLine } from './log-line.js';

/** A log line with its time on the common clock. */
export interface TimedLine {
  readonly line: LogLine;
  /** In milliseconds since 1970, on the clock of most processes. */
  readonly atMs: number;
}

/** The lines of one process from its start to its next start. */
type ProcessRun = readonly TimedLine[];

/** The clock skew of one process. */
export interface ClockSkew {
  readonly source: string;
  /** Offset from the median clock in milliseconds; negative if the clock is behind. */
  readonly aheadMs: number;
}

/** The lines of all processes on one clock. */
export interface AlignedLines {
  /** In order of time. */
  readonly lines: readonly TimedLine[];
  readonly skews: readonly ClockSkew[];
}

/** Longer than the propagation of a configuration takes. */
const MIN_SKEW_MS = 500;
/** Lines that all processes write at about the same time, by which clocks are compared. */
const REFERENCE_LINE_NAME = 'config in force';

/**
 * @returns the lines in order of time, and the clocks with a skew
 */
export function alignClocks(lines: readonly LogLine[]): AlignedLines {
  const runs = [...groupBy(lines, ({ source }) => source).values()]
    .flatMap(splitIntoRuns)
    .map(placeOnMonotonicClock);
  const skews = findSkews(runs);
  const aheadMs = new Map(skews.map((skew) => [skew.source, skew.aheadMs]));
  const aligned = runs.flat().map(({ line, atMs }) => ({
    line,
    atMs: atMs - (aheadMs.get(line.source) ?? 0),
  }));
  aligned.sort((one, other) => one.atMs - other.atMs || one.line.number - other.line.number);
  return { lines: aligned, skews };
}

/** Derives the start time from the median of wall time minus uptime, which is robust against clock jumps. */
function placeOnMonotonicClock(lines: readonly LogLine[]): ProcessRun {
  const starts = lines.flatMap(({ wallMs, upMs }) => (upMs === undefined ? [] : [wallMs - upMs]));
  const startMs = median(starts);
  return lines.map((line) => ({
    line,
    atMs: startMs === undefined || line.upMs === undefined ? line.wallMs : startMs + line.upMs,
  }));
}

/** Splits the lines of a process at each restart, where its uptime decreases. */
function splitIntoRuns(lines: readonly LogLine[]): LogLine[][] {
  const runs: LogLine[][] = [];
  let lastUpMs = Number.POSITIVE_INFINITY;
  for (const line of lines) {
    const upMs = line.upMs ?? lastUpMs;
    const current = runs.at(-1);
    if (current === undefined || upMs < lastUpMs) {
      runs.push([line]);
    } else {
      current.push(line);
    }
    lastUpMs = upMs;
  }
  return runs;
}

function findSkews(runs: readonly ProcessRun[]): ClockSkew[] {
  // The first configuration after a start is a catch-up and not an update that all processes get at once.
  const referenceLines = runs.flatMap((run) =>
    run.filter(({ line }) => line.name === REFERENCE_LINE_NAME).slice(1),
  );
  const byVersion = groupBy(referenceLines, ({ line }) => line.fields.get('version') ?? '');
  const differences = new Map<string, number[]>();
  for (const ofVersion of byVersion.values()) {
    const medianMs = median(ofVersion.map(({ atMs }) => atMs)) ?? 0;
    for (const { line, atMs } of ofVersion) {
      const group = differences.get(line.source) ?? [];
      differences.set(line.source, [...group, atMs - medianMs]);
    }
  }
  return [...differences].flatMap(([source, ofSource]) => {
    const aheadMs = Math.round(median(ofSource) ?? 0);
    return Math.abs(aheadMs) >= MIN_SKEW_MS ? [{ source, aheadMs }] : [];
  });
}

function groupBy<Item>(items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [item]);
    } else {
      group.push(item);
    }
  }
  return groups;
}

function median(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor(sorted.length / 2)];
}
