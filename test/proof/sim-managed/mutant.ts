/** @file Runs mutants: deliberately broken variants of the product that a check of the oracle must catch. */
import t from 'tap';
import type { CheckName } from '../../../src/proof/sim-managed/oracle/check.js';
import { runScenario, type RunReport } from '../../../src/proof/sim-managed/run-scenario.js';
import { findScenario } from '../../../src/proof/sim-managed/scenarios/index.js';
import type { Scenario } from '../../../src/proof/sim-managed/scenarios/scenario.js';
import {
  productSteps,
  type SimulatedSteps,
} from '../../../src/proof/sim-managed/simulated-steps.js';

/** A broken variant of the product. */
export interface Mutant {
  /** What is broken. */
  readonly name: string;
  /** The check that must catch it. */
  readonly check: CheckName;
  readonly scenario: Scenario;
  readonly seed: number;
  /** Disturbances by the environment, which the unmodified product must tolerate. */
  readonly disturbances?: Partial<SimulatedSteps>;
  /** Replaces steps; it gets the product's steps with the disturbances applied. */
  breakSteps(steps: SimulatedSteps): Partial<SimulatedSteps>;
}

/** The scenario with this name, with changes applied. */
export function scenarioNamed(name: string, changes: Partial<Scenario> = {}): Scenario {
  const scenario = findScenario(name);
  if (scenario === undefined) {
    throw new Error(`unknown scenario ${name}`);
  }
  return { ...scenario, ...changes };
}

/** Several seeds, as a change of the product can shift its random draws. */
const MAX_SEEDS = 8;

/** Runs the mutant with consecutive seeds until it is caught or all seeds are used. */
export async function runMutant(mutant: Mutant): Promise<RunReport> {
  const { check, scenario, seed, disturbances, breakSteps } = mutant;
  const steps = { ...productSteps, ...disturbances };
  const broken = { ...steps, ...breakSteps(steps) };
  for (let triedSeed = seed; ; triedSeed += 1) {
    const options = { steps: broken, stopsAtViolationOf: check };
    const report = await runScenario(scenario, triedSeed, options);
    if (isCaught(mutant, report) || triedSeed + 1 >= seed + MAX_SEEDS) {
      return report;
    }
  }
}

/** True if the mutant's check reported a violation. */
export function isCaught({ check }: Mutant, { violations }: RunReport): boolean {
  return violations.some((violation) => violation.check === check);
}

/** Tests each mutant; mutants with the same schedule share the run of the unmodified product. */
export function testMutants(mutants: readonly Mutant[]): void {
  const passedSchedules: Schedule[] = [];
  for (const mutant of mutants) {
    t.test(`caught by ${mutant.check}: ${mutant.name}`, async (t) => {
      const report = await runMutant(mutant);
      t.ok(isCaught(mutant, report));
      const schedule = { ...mutant, seed: report.seed };
      if (!passedSchedules.some((earlier) => isSameSchedule(earlier, schedule))) {
        const { scenario, seed, disturbances } = schedule;
        const steps = { ...productSteps, ...disturbances };
        const unbroken = await runScenario(scenario, seed, { steps });
        t.strictSame(unbroken.violations, [], 'the unmodified product passes the schedule');
        passedSchedules.push(schedule);
      }
    });
  }
}

type Schedule = Pick<Mutant, 'scenario' | 'seed' | 'disturbances'>;

function isSameSchedule(one: Schedule, other: Schedule): boolean {
  return (
    one.scenario === other.scenario &&
    one.seed === other.seed &&
    one.disturbances === other.disturbances
  );
}
