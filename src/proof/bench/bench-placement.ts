/**
 * @file `amberlift bench placement`: all placement policies in the same tenfold surges, through the
 * decision code of the daemon and in virtual time.
 */
import { placementPolicyNames } from '../../managed/control/routing-config.js';
import {
  median,
  refuseUnknownSettings,
  type Bench,
  type BenchOptions,
  type BenchTable,
} from './bench.js';
import { choiceCost } from './placement-choice-cost.js';
import { runPlacement, type PlacementFigures } from './placement-run.js';
import { placementScenarios, TARGET_SCENARIO, type NamedScenario } from './placement-scenarios.js';
import type { PlacementName } from './placement-world.js';

const DEFAULT_ROUNDS = 5;
const DIGITS = 3;
const MAX_PEAK_CONNECTIONS = 1.1;
const MAX_PEAK_SLOTS = 1.25;
const BACKEND_COUNTS = [10, 1_000, 12_000] as const;
const names: readonly PlacementName[] = [...placementPolicyNames, 'exact'];

/** The medians over the rounds of one scenario under one policy. */
interface PlacementResult extends PlacementFigures {
  readonly scenario: string;
  readonly policy: PlacementName;
  readonly packetPath: 'token' | 'flow-table';
}

/** Compares the placement policies. */
export const placementBench: Bench = {
  name: 'placement',
  summary: 'broken flows and imbalance of every placement policy',
  run: async (options) => {
    refuseUnknownSettings(options, ['scenario']);
    const results: PlacementResult[] = [];
    for (const named of chosenScenarios(options.settings.get('scenario'))) {
      options.progress(`Scenario: ${named.name}.`);
      names.forEach((policy) => results.push(measure(named, policy, options)));
      // Lets signals in between scenarios.
      await new Promise((resolve) => setImmediate(resolve));
    }
    const rounds = options.rounds ?? DEFAULT_ROUNDS;
    const choiceCosts = BACKEND_COUNTS.map((backends) => measureChoices(backends, options));
    const figures = { rounds, seed: options.seed, results, choiceCosts };
    return { figures, table: tableOf(results), missed: missedTargets(results) };
  },
};

function chosenScenarios(part: string | undefined): readonly NamedScenario[] {
  const chosen = placementScenarios.filter(({ name }) => part === undefined || name.includes(part));
  if (chosen.length === 0) {
    throw new RangeError('No scenario has that in its name.');
  }
  return chosen;
}

/** Maglev stands for the classic design and so keeps flow tables; all others route by tokens. */
function measure(
  { name, scenario }: NamedScenario,
  policy: PlacementName,
  options: BenchOptions,
): PlacementResult {
  const packetPath = policy === 'maglev' ? 'flow-table' : 'token';
  const runs: PlacementFigures[] = [];
  for (let round = 0; round < (options.rounds ?? DEFAULT_ROUNDS); round += 1) {
    runs.push(runPlacement({ ...scenario, policy, packetPath, seed: options.seed + round }));
  }
  const middle = (figure: keyof PlacementFigures): number => median(runs.map((run) => run[figure]));
  return {
    scenario: name,
    policy,
    packetPath,
    opened: middle('opened'),
    droppedPackets: middle('droppedPackets'),
    brokenFlows: middle('brokenFlows'),
    peakOverMeanConnections: rounded(middle('peakOverMeanConnections')),
    peakOverMeanSlots: rounded(middle('peakOverMeanSlots')),
    peakOverMeanSlots5s: rounded(middle('peakOverMeanSlots5s')),
    refused: middle('refused'),
  };
}

/** How long one choice takes, on the clock of this machine. */
function measureChoices(backends: number, options: BenchOptions) {
  const costs: number[] = [];
  for (let round = 0; round < (options.rounds ?? DEFAULT_ROUNDS); round += 1) {
    costs.push(choiceCost(backends, options.seed + round));
  }
  return { backends, nanoseconds: median(costs) };
}

function rounded(value: number): number {
  return Number(value.toFixed(DIGITS));
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
