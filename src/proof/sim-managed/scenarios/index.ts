/**
 * @file Registry of scenarios.
 */
import { addressMove } from './address-scenarios.js';
import { badBackends } from './backend-scenarios.js';
import { chaos, controlFaults } from './fault-scenarios.js';
import { cutOffHour } from './long-scenarios.js';
import { lostZone } from './loss-scenarios.js';
import { operatorsRace } from './operator-scenarios.js';
import { drain, quiet, rollingRestart } from './planned-scenarios.js';
import type { Scenario } from './scenario.js';

/** The scenarios that consecutive runs cycle through, in this order. */
export const scenarios: readonly Scenario[] = [
  quiet,
  drain,
  rollingRestart,
  controlFaults,
  operatorsRace,
  addressMove,
  badBackends,
  chaos,
];

/** Scenarios that run only by name: they take too long, or violate a check because of an open issue. */
export const longScenarios: readonly Scenario[] = [cutOffHour, lostZone];

/**
 * @returns the scenario with this name, or undefined
 */
export function findScenario(name: string): Scenario | undefined {
  return [...scenarios, ...longScenarios].find((scenario) => scenario.name === name);
}
