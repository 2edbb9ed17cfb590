/**
 * @file The file that is written for a run with a violation: one JSON line with scenario, seed and
 * violations, then the whole trace with its packets, one JSON line an event.
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
 * Runs a scenario with packets and writes its trace.
 * @returns the file's path
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
