/**
 * @file `amberlift bench placement`: compares the placement policies of the daemon under the same
 * tenfold surges in virtual time.
 */
import { placementPolicyNames } from '../../managed/control/routing-config.js';
import {
  median,
  rejectUnknownSettings,
  type Bench,
  type BenchOptions,
  type BenchTable,
} from './bench.js';
import { choiceCost } from './placement-choice-cost.js';
import { runPlacement, type PlacementFigures } from './placement-run.js';
import { placementScenarios, TARGET_SCENARIO, type NamedScenario } from './placement-scenarios.js';
import type { PlacementName } from './placement-simulation.js';

const DEFAULT_ROUNDS = 5;
const FRACTION_DIGITS = 3;
const MAX_PEAK_CONNECTIONS = 1.1;
const MAX_PEAK_SLOTS = 1.25;
const BACKEND_COUNTS = [10, 1_000, 12_000] as const;
const placementNames: readonly PlacementName[] = [...placementPolicyNames, 'exact'];

/** Medians over the rounds of one scenario with one policy. */
interface PlacementResult extends PlacementFigures {
  readonly scenario: string;
  readonly policy: PlacementName;
  readonly packetPath: 'token' | 'flow-table';
}

/** Measures broken flows and load imbalance of each placement policy. */
export const placementBench: Bench = {
  name: 'placement',
  summary: 'broken flows and load imbalance of each placement policy',
  run: async (options) => {
    rejectUnknownSettings(options, ['scenario']);
    const results: PlacementResult[] = [];
    for (const named of selectScenarios(options.settings.get('scenario'))) {
      options.progress(`Scenario: ${named.name}.`);
      placementNames.forEach((policy) => results.push(measurePolicy(named, policy, options)));
      // Yields to the event loop so that signals are handled.
      await new Promise((resolve) => setImmediate(resolve));
    }
    const rounds = options.rounds ?? DEFAULT_ROUNDS;
    const choiceCosts = BACKEND_COUNTS.map((backends) => measureChoiceCost(backends, options));
    const figures = { rounds, seed: options.seed, results, choiceCosts };
    return { figures, table: tableOf(results), missed: missedTargets(results) };
  },
};

function selectScenarios(nameFilter: string | undefined): readonly NamedScenario[] {
  const selected = placementScenarios.filter(
    ({ name }) => nameFilter === undefined || name.includes(nameFilter),
  );
  if (selected.length === 0) {
    throw new RangeError('The setting scenario matches no scenario name.');
  }
  return selected;
}

/** Maglev runs with flow tables as the conventional design; all other policies route by token. */
function measurePolicy(
  { name, scenario }: NamedScenario,
  policy: PlacementName,
  options: BenchOptions,
): PlacementResult {
  const packetPath = policy === 'maglev' ? 'flow-table' : 'token';
  const runs: PlacementFigures[] = [];
  for (let round = 0; round < (options.rounds ?? DEFAULT_ROUNDS); round += 1) {
    runs.push(runPlacement({ ...scenario, policy, packetPath, seed: options.seed + round }));
  }
  const medianOf = (figure: keyof PlacementFigures): number =>
    median(runs.map((run) => run[figure]));
  return {
    scenario: name,
    policy,
    packetPath,
    opened: medianOf('opened'),
    droppedPackets: medianOf('droppedPackets'),
    brokenFlows: medianOf('brokenFlows'),
    peakOverMeanConnections: rounded(medianOf('peakOverMeanConnections')),
    peakOverMeanSlots: rounded(medianOf('peakOverMeanSlots')),
    peakOverMeanSlots5s: rounded(medianOf('peakOverMeanSlots5s')),
    refused: medianOf('refused'),
  };
}

/** Measures the wall-clock time of one choice. */
function measureChoiceCost(backends: number, options: BenchOptions) {
  const costs: number[] = [];
  for (let round = 0; round < (options.rounds ?? DEFAULT_ROUNDS); round += 1) {
    costs.push(choiceCost(backends, options.seed + round));
  }
  return { backends, nanoseconds: median(costs) };
}

function rounded(value: number): number {
  return Number(value.toFixed(FRACTION_DIGITS));
}

function tableOf(results: readonly PlacementResult[]): BenchTable {
  return {
    head: [
      'scenario',
      'policy',
      'broken flows',
      'connections',
      'slots 1 s',
      'slots 5 s',
      'refused',
    ],
    rows: results.map((result) => [
      result.scenario,
      result.policy,
      result.brokenFlows,
      result.peakOverMeanConnections,
      result.peakOverMeanSlots,
      result.peakOverMeanSlots5s,
      result.refused,
    ]),
  };
}

function missedTargets(results: readonly PlacementResult[]): string[] {
  const missed: string[] = [];
  for (const result of results.filter(({ policy }) => policy === 'adaptive')) {
    if (result.brokenFlows > 0) {
      missed.push(`no broken flows in "${result.scenario}": ${result.brokenFlows}`);
    }
    if (result.scenario === TARGET_SCENARIO) {
      const { peakOverMeanConnections, peakOverMeanSlots, peakOverMeanSlots5s } = result;
      if (peakOverMeanConnections > MAX_PEAK_CONNECTIONS) {
        missed.push(`connections at most ${MAX_PEAK_CONNECTIONS}: ${peakOverMeanConnections}`);
      }
      if (peakOverMeanSlots > MAX_PEAK_SLOTS) {
        missed.push(`slots at most ${MAX_PEAK_SLOTS} in each second: ${peakOverMeanSlots}`);
      }
      if (peakOverMeanSlots5s > MAX_PEAK_SLOTS) {
        missed.push(`slots at most ${MAX_PEAK_SLOTS} in each 5 s: ${peakOverMeanSlots5s}`);
      }
    }
  }
  return missed;
}
