/**
 * @file Scenarios of operators: both partners race each other and themselves, and send commands again.
 */
import { smallWorld } from '../world-plan.js';
import { changeSomething, planAndCancel, racePolicies } from './operator-changes.js';
import { atRandomTimes, QUIET_END_MS, type Scenario } from './scenario.js';

const DURATION_MS = 20_000;

/** Many commands at once, half of their answers lost, and a leader that changes. */
export const operatorsRace: Scenario = {
  name: 'operators-race',
  description: 'Operators of both partners race each other; answers are lost and commands resent.',
  plan: smallWorld,
  durationMs: DURATION_MS,
  schedule: (scope) => {
    const { world, faults } = scope;
    const endMs = DURATION_MS - QUIET_END_MS;
    faults.loseAnswers(0.5, endMs);
    atRandomTimes(scope, endMs, 150, () => racePolicies(scope));
    atRandomTimes(scope, endMs, 400, () => changeSomething(scope));
    atRandomTimes(scope, endMs, 800, () => planAndCancel(scope));
    world.after(endMs / 2, () => {
      const leader = world.controls.find(({ isLeader }) => isLeader);
      if (leader !== undefined) {
        faults.crash(leader, 1_000);
      }
    });
  },
};
