/**
 * @file Collects the figures that the demo prints.
 */
import type { Cluster } from './cluster.js';
import { collectRuns } from './cluster-status.js';
import { summarizeRun, type RunSummary } from './run-summary.js';
import type { Imbalance, LoadSampler } from './load-sampler.js';
import type { LatencySummary, RunRecorder } from './run-recorder.js';

/** Outcomes, violations, imbalance and latencies of a run. */
export interface RunFigures extends RunSummary, Imbalance, LatencySummary {
  readonly seconds: number;
}

/**
 * @returns the figures; call it after all callers have finished
 */
export async function collectFigures(
  cluster: Cluster,
  recorder: RunRecorder,
  sampler: LoadSampler,
): Promise<RunFigures> {
  return {
    ...summarizeRun(recorder.record(), await collectRuns(cluster)),
    ...sampler.imbalance(),
    ...recorder.latencySummary(),
    seconds: recorder.elapsedSeconds,
  };
}
