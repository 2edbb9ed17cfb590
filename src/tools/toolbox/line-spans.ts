/**
 * @file Time span and field values of a set of log lines.
 */
import type { TimedLine } from './align-clocks.js';

/** Time from the first to the last line, in milliseconds since the Unix epoch. */
export interface Span {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** @returns the time span of the lines; from +Infinity to -Infinity if there are none */
export function spanOf(lines: readonly TimedLine[]): Span {
  const times = lines.map(({ atMs }) => atMs);
  return { fromMs: Math.min(...times), untilMs: Math.max(...times) };
}

/** @returns the distinct values of a field */
export function valuesOf(lines: readonly TimedLine[], field: string): Set<string> {
  return new Set(lines.flatMap(({ line }) => line.fields.get(field) ?? []));
}
