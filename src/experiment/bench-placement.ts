/**
 * @file `amberlift bench placement`: all placement policies in the same tenfold surges, through the
 * decision code of the daemon and in virtual time.
 */
import { placementPolicyNames, type PlacementPolicyName } from '../control/cluster-state.js';
import { median, refuseUnknownSettings, type Bench, type BenchOptions } from './bench.js';
import { runPlacement, type PlacementFigures } from './placement-run.js';
import type { PlacementScenario } from './placement-world.js';

const DEFAULT_ROUNDS = 5;
const DIGITS = 3;

type Surge = Omit<PlacementScenario, 'policy' | 'seed'>;

/** A tenfold surge over 10 back ends with 2 slots and about 2,000 connections each. */
const surge: Surge = {
  balancers: 3,
  backends: 10,
  shape: { slots: 2, connectionLimit: 2_400, serviceMs: 12, reportLagMs: 1_000 },
  reportIntervalMs: 500,
  opensPerSecond: 60,
  surgeFactor: 10,
  surgeStartMs: 60_000,
  endMs: 100_000,
  flowLifeMs: 30_000,
  requestIntervalMs: 30_000,
};

/** Compares the placement policies. */
export const placementBench: Bench = {
  name: 'placement',
  summary: 'broken flows and imbalance of every placement policy',
  run: async (options) => {
    refuseUnknownSettings(options, []);
    const results = placementPolicyNames.map((policy) => measure(policy, options));
    await Promise.resolve();
    return {
      figures: { rounds: options.rounds ?? DEFAULT_ROUNDS, seed: options.seed, results },
      table: {
        head: ['policy', 'broken flows', 'peak/mean connections', 'peak/mean slots', 'refused'],
        rows: results.map((result) => [
          result.policy,
          result.brokenFlows,
          result.peakOverMeanConnections.toFixed(DIGITS),
          result.peakOverMeanSlots.toFixed(DIGITS),
          result.refused,
        ]),
      },
      missed: [],
    };
  },
};

function measure(policy: PlacementPolicyName, options: BenchOptions) {
  options.progress(`Policy ${policy}.`);
  const runs: PlacementFigures[] = [];
  for (let round = 0; round < (options.rounds ?? DEFAULT_ROUNDS); round += 1) {
    runs.push(runPlacement({ ...surge, policy, seed: options.seed + round }));
  }
  const middle = (figure: keyof PlacementFigures): number => median(runs.map((run) => run[figure]));
  return {
    policy,
    opened: middle('opened'),
    brokenFlows: middle('brokenFlows'),
    peakOverMeanConnections: middle('peakOverMeanConnections'),
    peakOverMeanSlots: middle('peakOverMeanSlots'),
    refused: middle('refused'),
  };
}
