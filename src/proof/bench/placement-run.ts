/**
 * @file Runs one simulation of the placement benchmark and computes its figures.
 */
import type { PlacementBackend } from './placement-backend.js';
import {
  PlacementSimulation,
  type PlacementCounts,
  type PlacementScenario,
} from './placement-simulation.js';

const CONNECTION_SAMPLE_MS = 100;
const SHORT_SLOT_WINDOW_MS = 1_000;
const LONG_SLOT_WINDOW_MS = 5_000;

/** Figures of one run; flow counts cover the whole run, peaks start with the surge. */
export interface PlacementFigures extends PlacementCounts {
  /** Highest ratio, over all samples, of the most connections on a back end to the mean. */
  readonly peakOverMeanConnections: number;
  /** The same ratio for busy slots, averaged over windows of 1 s. */
  readonly peakOverMeanSlots: number;
  /** The same ratio for busy slots, averaged over windows of 5 s. */
  readonly peakOverMeanSlots5s: number;
}

/**
 * Runs one scenario. The imbalance covers only back ends that accept flows during the whole run.
 */
export function runPlacement(scenario: PlacementScenario): PlacementFigures {
  const simulation = new PlacementSimulation(scenario);
  simulation.scheduler.runUntil(scenario.surgeStartMs);
  const { scheduler } = simulation;
  let peakOverMeanConnections = 1;
  scheduler.every(CONNECTION_SAMPLE_MS, () => {
    const connections = simulation.steadyBackends().map((backend) => backend.connections);
    peakOverMeanConnections = Math.max(peakOverMeanConnections, peakOverMean(connections));
  });
  const shortSlots = trackPeakSlots(simulation, SHORT_SLOT_WINDOW_MS);
  const longSlots = trackPeakSlots(simulation, LONG_SLOT_WINDOW_MS);
  scheduler.runUntil(scenario.endMs);
  return {
    ...simulation.counts,
    peakOverMeanConnections,
    peakOverMeanSlots: shortSlots.peak,
    peakOverMeanSlots5s: longSlots.peak,
  };
}

/** Tracks the highest peak-to-mean ratio of slot time per window. */
function trackPeakSlots(
  simulation: PlacementSimulation,
  windowMs: number,
): { readonly peak: number } {
  const tracker = { peak: 1 };
  const previousTotals = new Map<PlacementBackend, number>();
  simulation.scheduler.every(windowMs, () => {
    const slotTimes = simulation.steadyBackends().map((backend) => {
      const total = backend.busySlotMs();
      const sinceLast = total - (previousTotals.get(backend) ?? total);
      previousTotals.set(backend, total);
      return sinceLast;
    });
    tracker.peak = Math.max(tracker.peak, peakOverMean(slotTimes));
  });
  return tracker;
}

function peakOverMean(values: readonly number[]): number {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  return mean === 0 ? 1 : Math.max(...values) / mean;
}
