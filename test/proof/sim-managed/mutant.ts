/** @file What a mutant is: a deliberately broken variant of the product, and the check that catches it. */
import t from 'tap';
import type { CheckName } from '../../../src/proof/sim-managed/oracle/check.js';
import { runScenario, type RunReport } from '../../../src/proof/sim-managed/run-scenario.js';
import { findScenario } from '../../../src/proof/sim-managed/scenarios/index.js';
import type { Scenario } from '../../../src/proof/sim-managed/scenarios/scenario.js';
import {
  productSteps,
  type SimulatedSteps,
} from '../../../src/proof/sim-managed/simulated-steps.js';

/** A broken variant. */
export interface Mutant {
  /** What is broken. */
  readonly name: string;
  /** The check that must catch it. */
  readonly check: CheckName;
  readonly scenario: Scenario;
  readonly seed: number;
  /** The schedule's own disturbances, which the unbroken product must stand as well. */
  readonly hostile?: Partial<SimulatedSteps>;
  /** Breaks the steps; they are those of the product with the schedule's disturbances. */
  breakSteps(steps: SimulatedSteps): Partial<SimulatedSteps>;
}

/** The scenario of that name, with changes. */
export function scenarioNamed(name: string, changes: Partial<Scenario> = {}): Scenario {
  const scenario = findScenario(name);
  if (scenario === undefined) {
    throw new Error(`There is no scenario ${name}.`);
  }
  return { ...scenario, ...changes };
}

/** Seeds that are tried, so that a change of the product that shifts its draws costs no mutant. */
const SEEDS_TRIED = 8;

/** Runs the mutant from its seed on, until it is caught or all seeds are tried. */
export async function runMutant(mutant: Mutant): Promise<RunReport> {
  const { check, scenario, seed, hostile, breakSteps } = mutant;
  const steps = { ...productSteps, ...hostile };
  const broken = { ...steps, ...breakSteps(steps) };
  for (let tried = seed; ; tried += 1) {
    const options = { steps: broken, stopsAtViolationOf: check };
    const report = await runScenario(scenario, tried, options);
    if (isCaught(mutant, report) || tried + 1 >= seed + SEEDS_TRIED) {
      return report;
    }
  }
}

/** True where the check named for the mutant caught it. */
export function isCaught({ check }: Mutant, { violations }: RunReport): boolean {
  return violations.some((violation) => violation.check === check);
}

/** Tests each mutant; mutants of one schedule share the run of the unbroken product. */
export function testMutants(mutants: readonly Mutant[]): void {
  const passed: Schedule[] = [];
  for (const mutant of mutants) {
    t.test(`caught by ${mutant.check}: ${mutant.name}`, async (t) => {
      const report = await runMutant(mutant);
      t.ok(isCaught(mutant, report));
      const schedule = { ...mutant, seed: report.seed };
      if (!passed.some((earlier) => isSameSchedule(earlier, schedule))) {
        const { scenario, seed, hostile } = schedule;
        const steps = { ...productSteps, ...hostile };
        const unbroken = await runScenario(scenario, seed, { steps });
        t.strictSame(unbroken.violations, [], 'the unbroken product passes the schedule');
        passed.push(schedule);
      }
    });
  }
}

type Schedule = Pick<Mutant, 'scenario' | 'seed' | 'hostile'>;

function isSameSchedule(one: Schedule, other: Schedule): boolean {
  return (
    one.scenario === other.scenario && one.seed === other.seed && one.hostile === other.hostile
  );
}
