/** @file Guards against wrong run plans of `amberlift simulate` and against incomplete trace files. */
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import t from 'tap';
import { findScenario, scenarios } from '../../../src/proof/sim-managed/scenarios/index.js';
import { planRuns, summarizeRun } from '../../../src/proof/sim-managed/simulate.js';
import {
  writeTraceFile,
  type TraceFileHeader,
} from '../../../src/proof/sim-managed/violation-file.js';

const quiet = findScenario('quiet');

t.test('runs cycle through the scenarios with ascending seeds', async (t) => {
  const runs = planRuns(scenarios, scenarios.length + 1, 7);
  t.strictSame(runs.at(-1), { scenario: scenarios[0]?.name, seed: 7 + scenarios.length });
});

t.test('the trace file contains the scenario, the seed and the packets', async (t) => {
  if (quiet === undefined) {
    throw new Error('unknown scenario quiet');
  }
  const scenario = { ...quiet, durationMs: 500 };
  const folder = mkdtempSync(join(tmpdir(), 'amberlift-trace-'));
  t.teardown(() => rmSync(folder, { recursive: true }));
  const path = await writeTraceFile(folder, scenario, 3);
  const [first = '', ...events] = readFileSync(path, 'utf8').trimEnd().split('\n');
  const header = JSON.parse(first) as TraceFileHeader;
  t.match(header, { scenario: 'quiet', seed: 3, violations: [] });
  t.ok(events.some((line) => line.includes('"type":"packet"')));
  t.equal((await summarizeRun(scenario, 3)).seed, 3);
});
