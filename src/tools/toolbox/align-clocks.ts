/**
 * @file One time for the lines of several processes whose clocks differ and jump. Within a process the monotonic clock gives the order;
 * between processes, configurations that came into force show how far their clocks are apart. Pure; used by `explain` and `timeline`.
 */
import type { LogLine } from './log-line.js';

/** A line with its time on the common clock. */
export interface TimedLine {
  readonly line: LogLine;
  /** In milliseconds since 1970, on the clock of most processes. */
  readonly atMs: number;
}

/** All lines of one start of a process. */
type Life = readonly TimedLine[];

/** The clock of a process that is off. */
export interface ClockSkew {
  readonly source: string;
  /** How far it is ahead of most others, in milliseconds; negative where it is behind. */
  readonly aheadMs: number;
}

/** All lines on one clock. */
export interface AlignedLines {
  /** In order of time. */
  readonly lines: readonly TimedLine[];
  readonly skews: readonly ClockSkew[];
}

/** Propagation of a configuration takes less than this; what is more is a clock. */
const MIN_SKEW_MS = 500;
/** Marks by which clocks are compared. */
const MARK_NAME = 'config in force';

/**
 * @returns the lines in order of time, and the clocks that were off
 */
export function alignClocks(lines: readonly LogLine[]): AlignedLines {
  const lives = [...groupBy(lines, ({ source }) => source).values()]
    .flatMap(livesOf)
    .map(steadyLife);
  const skews = findSkews(lives);
  const aheadMs = new Map(skews.map((skew) => [skew.source, skew.aheadMs]));
  const aligned = lives.flat().map(({ line, atMs }) => ({
    line,
    atMs: atMs - (aheadMs.get(line.source) ?? 0),
  }));
  aligned.sort((one, other) => one.atMs - other.atMs || one.line.number - other.line.number);
  return { lines: aligned, skews };
}

/** The start of a life is where most of its lines put it, however its clock jumped. */
function steadyLife(lines: readonly LogLine[]): Life {
  const starts = lines.flatMap(({ wallMs, upMs }) => (upMs === undefined ? [] : [wallMs - upMs]));
  const startMs = median(starts);
  return lines.map((line) => ({
    line,
    atMs: startMs === undefined || line.upMs === undefined ? line.wallMs : startMs + line.upMs,
  }));
}

/** A process that starts anew counts its time from the beginning. */
function livesOf(lines: readonly LogLine[]): LogLine[][] {
  const lives: LogLine[][] = [];
  let lastUpMs = Number.POSITIVE_INFINITY;
  for (const line of lines) {
    const upMs = line.upMs ?? lastUpMs;
    const current = lives.at(-1);
    if (current === undefined || upMs < lastUpMs) {
      lives.push([line]);
    } else {
      current.push(line);
    }
    lastUpMs = upMs;
  }
  return lives;
}

function findSkews(lives: readonly Life[]): ClockSkew[] {
  // What comes into force first after a start shows when that was, not when the version was accepted.
  const marks = lives.flatMap((life) =>
    life.filter(({ line }) => line.name === MARK_NAME).slice(1),
  );
  const byVersion = groupBy(marks, ({ line }) => line.fields.get('version') ?? '');
  const differences = new Map<string, number[]>();
  for (const ofVersion of byVersion.values()) {
    const usualMs = median(ofVersion.map(({ atMs }) => atMs)) ?? 0;
    for (const { line, atMs } of ofVersion) {
      const known = differences.get(line.source) ?? [];
      differences.set(line.source, [...known, atMs - usualMs]);
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
    const known = groups.get(key);
    if (known === undefined) {
      groups.set(key, [item]);
    } else {
      known.push(item);
    }
  }
  return groups;
}

function median(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor(sorted.length / 2)];
}
