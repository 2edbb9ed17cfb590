/**
 * @file Long scenario: a control machine and a balancer are cut off from the other control machines for an hour.
 */
import { smallWorld } from '../world-plan.js';
import { sendRandomOperation } from './operator-changes.js';
import { atRandomTimes, publishRegularly, FAULT_FREE_END_MS, type Scenario } from './scenario.js';

const HOUR_MS = 3_600_000;
const DURATION_MS = HOUR_MS + 60_000;

/** A control machine and a balancer can't reach the other control machines for an hour. */
export const cutOffHour: Scenario = {
  name: 'cut-off-hour',
  description:
    'A control machine and a balancer are cut off from the other control machines for an hour.',
  plan: {
    ...smallWorld,
    balancers: 3,
    services: [
      { name: 'authd', owner: 'tarjeta', backends: 2, callers: 1, feeds: 0 },
      { name: 'board-api', owner: 'hara', backends: 2, callers: 0, feeds: 1 },
    ],
    pauseMs: 2_000,
  },
  durationMs: DURATION_MS,
  schedule: (scope) => {
    const { world, faults } = scope;
    const [cutControl, ...others] = world.controls;
    const [cutBalancer] = world.balancers;
    if (cutControl === undefined || cutBalancer === undefined) {
      return;
    }
    publishRegularly(scope, DURATION_MS, 10_000);
    world.after(1_000, () => {
      faults.cutLinks([cutControl, cutBalancer], others, HOUR_MS);
    });
    atRandomTimes(scope, DURATION_MS - FAULT_FREE_END_MS, 60_000, () => sendRandomOperation(scope));
  },
};
