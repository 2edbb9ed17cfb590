/**
 * @file Worker thread of `simulate`: performs the runs requested by messages and posts a summary of
 * each.
 */
import { parentPort } from 'node:worker_threads';
import { findScenario } from './scenarios/index.js';
import { summarizeRun, type RunRequest } from './simulate.js';

parentPort?.on('message', ({ scenario, seed }: RunRequest) => {
  const definition = findScenario(scenario);
  if (definition === undefined) {
    throw new Error(`There is no scenario ${scenario}.`);
  }
  void summarizeRun(definition, seed).then((summary) => parentPort?.postMessage(summary));
});
