/**
 * @file All scenarios by name.
 */
import { chaos, controlFaults } from './fault-scenarios.js';
import { drain, quiet, rollingRestart } from './planned-scenarios.js';
import type { Scenario } from './scenario.js';

/** All scenarios, in the order in which runs take turns. */
export const scenarios: readonly Scenario[] = [quiet, drain, rollingRestart, controlFaults, chaos];

/**
 * @returns the scenario of that name, or undefined
 */
export function findScenario(name: string): Scenario | undefined {
  return scenarios.find((scenario) => scenario.name === name);
}
