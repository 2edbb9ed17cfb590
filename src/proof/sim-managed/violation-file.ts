/**
 * @file Writes the trace file of a run with a violation: a header line with scenario, seed, digest
 * and violations, then the trace with its packets. Each line is one JSON value.
 */
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { Violation } from './oracle/check.js';
import { runScenario } from './run-scenario.js';
import type { Scenario } from './scenarios/scenario.js';
import type { TraceEvent } from './trace.js';

/** The first line of a trace file. */
export interface TraceFileHeader {
  readonly scenario: string;
  readonly seed: number;
  readonly digest: string;
  readonly violations: readonly Violation[];
}

/**
 * Repeats a run with packet recording and writes its trace.
 * @returns the path of the file
 */
export async function writeTraceFile(
  folder: string,
  scenario: Scenario,
  seed: number,
): Promise<string> {
  const report = await runScenario(scenario, seed, { keepsPackets: true });
  const { digest, violations, trace } = report;
  const header: TraceFileHeader = { scenario: scenario.name, seed, digest, violations };
  await mkdir(folder, { recursive: true });
  const path = join(folder, `${scenario.name}-${seed}.jsonl`);
  await writeFile(path, formatTrace(header, trace));
  return path;
}

/**
 * @returns the content of a trace file
 */
export function formatTrace(header: TraceFileHeader, trace: readonly TraceEvent[]): string {
  return [header, ...trace].map((line) => `${JSON.stringify(line)}\n`).join('');
}
