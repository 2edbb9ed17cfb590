/** @file What a mutant is: a deliberately broken variant of the product, and the check that catches it. */
import t from 'tap';
import type { CheckName } from '../../src/sim/oracle/check.js';
import { runScenario, type RunReport } from '../../src/sim/run-scenario.js';
import { findScenario } from '../../src/sim/scenarios/index.js';
import type { Scenario } from '../../src/sim/scenarios/scenario.js';
import { productSteps, type SimulatedSteps } from '../../src/sim/simulated-steps.js';

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

/** Runs the mutant until it is caught. */
export function runMutant({
  check,
  scenario,
  seed,
  hostile,
  breakSteps,
}: Mutant): Promise<RunReport> {
  const steps = { ...productSteps, ...hostile };
  const broken = { ...steps, ...breakSteps(steps) };
  return runScenario(scenario, seed, { steps: broken, stopsAtViolationOf: check });
}

/** Runs the unbroken product on the same schedule. */
export function runUnbroken({ scenario, seed, hostile }: Mutant): Promise<RunReport> {
  return runScenario(scenario, seed, { steps: { ...productSteps, ...hostile } });
}

/** Tests each mutant; mutants of one schedule share the run of the unbroken product. */
export function testMutants(mutants: readonly Mutant[]): void {
  for (const mutant of mutants) {
    t.test(`caught by ${mutant.check}: ${mutant.name}`, async (t) => {
      const { violations } = await runMutant(mutant);
      t.ok(violations.some(({ check }) => check === mutant.check));
    });
  }
  const schedules = mutants.filter((mutant, position) =>
    mutants.slice(0, position).every((earlier) => !hasSameSchedule(mutant, earlier)),
  );
  for (const mutant of schedules) {
    const { scenario, seed, name } = mutant;
    t.test(`unbroken on ${scenario.name} ${seed}, where: ${name}`, async (t) => {
      t.strictSame((await runUnbroken(mutant)).violations, []);
    });
  }
}

function hasSameSchedule(one: Mutant, other: Mutant): boolean {
  return (
    one.scenario === other.scenario && one.seed === other.seed && one.hostile === other.hostile
  );
}
