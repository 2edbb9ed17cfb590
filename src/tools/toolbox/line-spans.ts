/**
 * @file Times and values over several log lines: the span that lines cover, and the values that a field takes in them.
 */
import type { TimedLine } from './align-clocks.js';

/** From the first to the last of some lines, in milliseconds since 1970. */
export interface Span {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** @returns the span of lines; empty where there are none */
export function spanOf(lines: readonly TimedLine[]): Span {
  const times = lines.map(({ atMs }) => atMs);
  return { fromMs: Math.min(...times), untilMs: Math.max(...times) };
}

/** @returns all values of a field */
export function valuesOf(lines: readonly TimedLine[], field: string): Set<string> {
  return new Set(lines.flatMap(({ line }) => line.fields.get(field) ?? []));
}
