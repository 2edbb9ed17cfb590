// The record of a run: what was sent, answered and run, with the time since its start.
import { writeFileSync, appendFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

export function createRecord(path) {
  const startedAtMs = performance.now();
  writeFileSync(path, '');
  const nowMs = () => performance.now() - startedAtMs;
  return {
    nowMs,
    line(text) {
      appendFileSync(path, `${(nowMs() / 1000).toFixed(3).padStart(8)} s  ${text}\n`);
    },
  };
}
