/**
 * @file The figures with which the demo ends.
 */
import type { Cluster } from './cluster.js';
import { collectRuns } from './cluster-status.js';
import { summarizeHarm, type HarmSummary } from './harm-summary.js';
import type { Imbalance, LoadSampler } from './load-sampler.js';
import type { LatencySummary, RunRecorder } from './run-recorder.js';

/** The figures of a run. */
export interface RunFigures extends HarmSummary, Imbalance, LatencySummary {
  readonly seconds: number;
}

/**
 * @returns the figures, once all callers have finished
 */
export async function figuresOf(
  cluster: Cluster,
  recorder: RunRecorder,
  sampler: LoadSampler,
): Promise<RunFigures> {
  return {
    ...summarizeHarm(recorder.record(), await collectRuns(cluster)),
    ...sampler.imbalance(),
    ...recorder.latencySummary(),
    seconds: recorder.elapsedSeconds,
  };
}
