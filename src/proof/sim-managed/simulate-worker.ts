/**
 * @file The worker thread of `simulate`: does the runs that it is sent, one at a time.
 */
import { parentPort } from 'node:worker_threads';
import { findScenario } from './scenarios/index.js';
import { summarizeRun, type RunRequest } from './simulate.js';

parentPort?.on('message', ({ scenario, seed }: RunRequest) => {
  const found = findScenario(scenario);
  if (found === undefined) {
    throw new Error(`There is no scenario ${scenario}.`);
  }
  void summarizeRun(found, seed).then((summary) => parentPort?.postMessage(summary));
});
