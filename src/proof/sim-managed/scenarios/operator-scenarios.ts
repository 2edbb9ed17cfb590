/**
 * @file Scenario with concurrent operators who send conflicting commands and resend unanswered ones.
 */
import { smallWorld } from '../world-plan.js';
import { sendRandomOperation, planAndCancel, sendConflictingChanges } from './operator-changes.js';
import { atRandomTimes, FAULT_FREE_END_MS, type Scenario } from './scenario.js';

const DURATION_MS = 20_000;

/** Many concurrent commands, with half of the answers lost and a crash of the leader. */
export const operatorsRace: Scenario = {
  name: 'operators-race',
  description: 'Operators send conflicting commands; answers are lost and commands resent.',
  plan: smallWorld,
  durationMs: DURATION_MS,
  schedule: (scope) => {
    const { world, faults } = scope;
    const endMs = DURATION_MS - FAULT_FREE_END_MS;
    faults.loseAnswers(0.5, endMs);
    atRandomTimes(scope, endMs, 150, () => sendConflictingChanges(scope));
    atRandomTimes(scope, endMs, 400, () => sendRandomOperation(scope));
    atRandomTimes(scope, endMs, 800, () => planAndCancel(scope));
    world.after(endMs / 2, () => {
      const leader = world.controls.find(({ isLeader }) => isLeader);
      if (leader !== undefined) {
        faults.crash(leader, 1_000);
      }
    });
  },
};
