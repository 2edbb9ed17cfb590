/**
 * @file Runs stateful fuzzing with a fixed seed and a small number of schedules; `AMBERLIFT_FUZZ_SCHEDULES` and
 * `AMBERLIFT_FUZZ_SEED` override them.
 */
import { existsSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import t from 'tap';
import { productSteps } from '../../../src/proof/sim-managed/simulated-steps.js';
import { fuzz } from './fuzz.js';

const schedules = Number(process.env.AMBERLIFT_FUZZ_SCHEDULES ?? 5);
const seed = Number(process.env.AMBERLIFT_FUZZ_SEED ?? 1);

t.test('random schedules violate no check', async (t) => {
  const report = await fuzz({ seed, schedules, traceFolder: 'simulate-traces' });
  t.equal(report.failure, undefined);
  t.equal(report.schedules, schedules);
  t.comment(JSON.stringify(report));
});

t.test('a failing schedule is shrunk, and its trace is written to a file', async (t) => {
  const traceFolder = mkdtempSync(join(tmpdir(), 'amberlift-fuzz-'));
  t.teardown(() => rmSync(traceFolder, { recursive: true }));
  // Broken back end: it drops its flows when it receives a drain event.
  const steps: typeof productSteps = {
    ...productSteps,
    backend: (state, event, context) => {
      if (event.type === 'drain') {
        state.flows.clear();
      }
      return productSteps.backend(state, event, context);
    },
  };
  const { failure } = await fuzz({ seed: 1, schedules: 5, steps, traceFolder });
  t.ok(failure?.violations.length);
  t.ok(existsSync(failure?.traceFile ?? ''));
  t.ok((failure?.commands.split(';').length ?? 99) <= 4, failure?.commands ?? 'none');
});
