/**
 * @file All scenarios by name.
 */
import { addressMove } from './address-scenarios.js';
import { badBackends } from './backend-scenarios.js';
import { chaos, controlFaults } from './fault-scenarios.js';
import { cutOffHour } from './long-scenarios.js';
import { lostZone } from './loss-scenarios.js';
import { operatorsRace } from './operator-scenarios.js';
import { drain, quiet, rollingRestart } from './planned-scenarios.js';
import type { Scenario } from './scenario.js';

/** All scenarios, in the order in which runs take turns. */
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

/** Scenarios that take too long to be run by turns, or that show an open finding (docs/FINDINGS.md). */
export const longScenarios: readonly Scenario[] = [cutOffHour, lostZone];

/**
 * @returns the scenario of that name, or undefined
 */
export function findScenario(name: string): Scenario | undefined {
  return [...scenarios, ...longScenarios].find((scenario) => scenario.name === name);
}
