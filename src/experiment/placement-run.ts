/**
 * @file One run of the placement bench, and its figures.
 */
import { PlacementWorld, type PlacementCounts, type PlacementScenario } from './placement-world.js';

const CONNECTION_SAMPLE_MS = 100;
/** Busy slots are averaged over windows of this length. */
const SLOT_WINDOW_MS = 1_000;

/** The figures of one run, from the start of the surge to the end. */
export interface PlacementFigures extends PlacementCounts {
  /** Highest over all samples of the most loaded back end's connections over the mean. */
  peakOverMeanConnections: number;
  /** The same for busy slots, each averaged over a window of one second. */
  peakOverMeanSlots: number;
}

/**
 * Runs one scenario.
 */
export function runPlacement(scenario: PlacementScenario): PlacementFigures {
  const world = new PlacementWorld(scenario);
  world.agenda.runUntil(scenario.surgeStartMs);
  world.backends.forEach((backend) => backend.takeBusySlotMs());
  const connectionPeaks: number[] = [];
  const slotPeaks: number[] = [];
  world.agenda.every(CONNECTION_SAMPLE_MS, () =>
    connectionPeaks.push(peakOverMean(world.backends.map(({ connections }) => connections))),
  );
  world.agenda.after(SLOT_WINDOW_MS, () =>
    world.agenda.every(SLOT_WINDOW_MS, () =>
      slotPeaks.push(peakOverMean(world.backends.map((backend) => backend.takeBusySlotMs()))),
    ),
  );
  world.agenda.runUntil(scenario.endMs);
  return {
    ...world.counts,
    peakOverMeanConnections: Math.max(...connectionPeaks),
    peakOverMeanSlots: Math.max(...slotPeaks),
  };
}

function peakOverMean(values: readonly number[]): number {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  return mean === 0 ? 1 : Math.max(...values) / mean;
}
