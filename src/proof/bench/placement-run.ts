/**
 * @file One run of the placement bench, and its figures.
 */
import type { PlacementBackend } from './placement-backend.js';
import { PlacementWorld, type PlacementCounts, type PlacementScenario } from './placement-world.js';

const CONNECTION_SAMPLE_MS = 100;
const SHORT_SLOT_WINDOW_MS = 1_000;
const LONG_SLOT_WINDOW_MS = 5_000;

/** The figures of one run, from the start of the surge to the end. */
export interface PlacementFigures extends PlacementCounts {
  /** Highest over all samples of the most loaded back end's connections over the mean. */
  readonly peakOverMeanConnections: number;
  /** The same for busy slots, each averaged over a window of 1 s. */
  readonly peakOverMeanSlots: number;
  /** The same for busy slots, each averaged over a window of 5 s. */
  readonly peakOverMeanSlots5s: number;
}

/**
 * Runs one scenario. Imbalance is measured over the back ends that take flows throughout.
 */
export function runPlacement(scenario: PlacementScenario): PlacementFigures {
  const world = new PlacementWorld(scenario);
  world.agenda.runUntil(scenario.surgeStartMs);
  const { agenda } = world;
  let peakOverMeanConnections = 1;
  agenda.every(CONNECTION_SAMPLE_MS, () => {
    const connections = world.steadyBackends().map((backend) => backend.connections);
    peakOverMeanConnections = Math.max(peakOverMeanConnections, peakOverMean(connections));
  });
  const shortSlots = watchSlots(world, SHORT_SLOT_WINDOW_MS);
  const longSlots = watchSlots(world, LONG_SLOT_WINDOW_MS);
  agenda.runUntil(scenario.endMs);
  return {
    ...world.counts,
    peakOverMeanConnections,
    peakOverMeanSlots: shortSlots.peak,
    peakOverMeanSlots5s: longSlots.peak,
  };
}

/** Keeps the highest peak over mean of the slot time used in each window. */
function watchSlots(world: PlacementWorld, windowMs: number): { readonly peak: number } {
  const watch = { peak: 1 };
  const before = new Map<PlacementBackend, number>();
  world.agenda.every(windowMs, () => {
    const used = world.steadyBackends().map((backend) => {
      const total = backend.busySlotMs();
      const sinceLast = total - (before.get(backend) ?? total);
      before.set(backend, total);
      return sinceLast;
    });
    watch.peak = Math.max(watch.peak, peakOverMean(used));
  });
  return watch;
}

function peakOverMean(values: readonly number[]): number {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  return mean === 0 ? 1 : Math.max(...values) / mean;
}
